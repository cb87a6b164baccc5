package org.citronrelay.internal.cluster;

/**
 * Whether the coordinator of a term gets its loads and writes done. Its lease is renewed
 * by small calls, which may succeed where none of the others does; the term would go on
 * without any work being done. Not thread-safe.
 */
final class TermProgress {

	private final long patienceMs;

	private long failingSince;

	private boolean failing;

	private boolean madeAny;

	/**
	 * Creates the progress of a new term.
	 * @param patienceMs for how long all loads and writes may fail, in milliseconds
	 */
	TermProgress(long patienceMs) {
		this.patienceMs = patienceMs;
	}

	/**
	 * Records a load or write that succeeded.
	 */
	void succeeded() {
		this.failing = false;
		this.madeAny = true;
	}

	/**
	 * Records a load or write that failed. Failures while the lease is not confirmed do
	 * not count: the store is away then, for which another process is no remedy.
	 * @param leaseHeld whether the lease of the term is confirmed to be held
	 * @param now the present time, in monotonic milliseconds
	 * @return whether the term is to be given up
	 */
	boolean failed(boolean leaseHeld, long now) {
		if (!this.failing || !leaseHeld) {
			this.failing = true;
			this.failingSince = now;
		}
		return now - this.failingSince >= this.patienceMs;
	}

	/**
	 * Whether any load or write has succeeded.
	 */
	boolean madeAny() {
		return this.madeAny;
	}

}
