package org.citronrelay.internal.dispatch;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.citronrelay.internal.platform.Vm;

/**
 * A worker as a receiver of requests. Its counters are shared by all snapshots that hold
 * it.
 */
final class Target {

	private final Vm vm;

	private final AtomicInteger outstanding = new AtomicInteger();

	private final AtomicReference<Health> health = new AtomicReference<>(Health.GOOD);

	Target(Vm vm) {
		this.vm = vm;
	}

	Vm vm() {
		return this.vm;
	}

	int outstanding() {
		return this.outstanding.get();
	}

	Health health() {
		return this.health.get();
	}

	/**
	 * Takes one of the connections that this process may have to the worker.
	 */
	boolean tryTake(int mostOutstanding) {
		int most = (health().probation() > 0) ? 1 : mostOutstanding;
		while (true) {
			int before = this.outstanding.get();
			if (before >= most) {
				return false;
			}
			if (this.outstanding.compareAndSet(before, before + 1)) {
				return true;
			}
		}
	}

	void giveBack() {
		this.outstanding.decrementAndGet();
	}

	void note(boolean good, double peersFailureShare, boolean mayEject, long now) {
		this.health.updateAndGet((before) -> EjectionPolicy.after(before, good, peersFailureShare, mayEject, now));
	}

}
