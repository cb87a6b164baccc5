package org.citronrelay.internal.dispatch;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.citronrelay.internal.platform.Vm;

/**
 * A worker that can receive requests. Its counters are shared by all snapshots that
 * contain it.
 */
final class Target {

	private final Vm vm;

	private final AtomicInteger outstanding = new AtomicInteger();

	private final AtomicReference<Health> health = new AtomicReference<>(Health.INITIAL);

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
	 * Acquires one of the connections that this process may use to the worker. A worker
	 * on probation gets one connection at a time.
	 * @return whether a connection was acquired; if so, the caller must call
	 * {@link #release()}
	 */
	boolean tryAcquire(int connectionLimit) {
		int limit = (health().probationRemaining() > 0) ? 1 : connectionLimit;
		while (true) {
			int current = this.outstanding.get();
			if (current >= limit) {
				return false;
			}
			if (this.outstanding.compareAndSet(current, current + 1)) {
				return true;
			}
		}
	}

	void release() {
		this.outstanding.decrementAndGet();
	}

	void recordResult(boolean success, double meanFailureShare, boolean mayEject, long now) {
		this.health.updateAndGet((current) -> EjectionPolicy.after(current, success, meanFailureShare, mayEject, now));
	}

}
