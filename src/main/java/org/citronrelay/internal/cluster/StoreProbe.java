package org.citronrelay.internal.cluster;

import java.util.concurrent.Executor;

import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.TimeLimit;
import org.citronrelay.internal.time.Pause;

/**
 * Looks for a way to the store while the direct one fails, so that callers are served as
 * soon as one works again. Sends nothing while the direct way works.
 */
final class StoreProbe {

	/** The time between two direct probes, in milliseconds. */
	private static final long INTERVAL_MS = 75;

	/** How many direct probes are sent for one through a peer. */
	private static final int DIRECT_PROBES_PER_PEER_PROBE = 2;

	/**
	 * The time limit of a direct probe. A probe does not delay the next.
	 */
	private static final TimeLimit DIRECT_LIMIT = TimeLimit.total(600);

	/**
	 * The time limit of a probe through a peer: the peer's own limit and the way there.
	 */
	private static final TimeLimit PEER_LIMIT = TimeLimit.total(900);

	private final StoreRoute route;

	private final HttpCall read;

	private final Executor executor;

	private int count;

	/**
	 * Creates the probe of a process.
	 * @param read a cheap read
	 */
	StoreProbe(StoreRoute route, HttpCall read, Executor executor) {
		this.route = route;
		this.read = read;
		this.executor = executor;
	}

	void start() {
		Thread.ofVirtual().name("store-probe").start(() -> {
			while (Pause.millis(INTERVAL_MS)) {
				ErrorBoundary.run("probe the store", this::probe);
			}
		});
	}

	private void probe() {
		boolean lost = this.route.reachability().lost();
		if (lost || this.route.directWayAvoided()) {
			this.executor.execute(() -> this.route.probeDirectly(this.read, DIRECT_LIMIT));
		}
		if (lost && this.count++ % DIRECT_PROBES_PER_PEER_PROBE == 0) {
			this.executor.execute(() -> this.route.probePeer(this.read, PEER_LIMIT));
		}
	}

}
