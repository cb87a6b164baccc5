package org.citronrelay.internal.cluster;

import org.citronrelay.internal.schedule.Moment;

/**
 * One term of a coordinator, from its election until its lease ends.
 */
final class Term {

	private final long token;

	private final String lease;

	private volatile Moment heldUntil;

	private volatile boolean ended;

	private volatile boolean givenUp;

	private final TermProgress progress;

	/**
	 * Creates a term.
	 * @param heldUntil the time until which the lease is confirmed to be held
	 * @param patienceMs for how long all loads and writes may fail before the term is
	 * given up, in milliseconds
	 */
	Term(long token, String lease, Moment heldUntil, long patienceMs) {
		this.token = token;
		this.lease = lease;
		this.heldUntil = heldUntil;
		this.progress = new TermProgress(patienceMs);
	}

	/**
	 * Returns the fencing token: the revision of the coordinator key, which grows from
	 * term to term.
	 */
	long token() {
		return this.token;
	}

	String lease() {
		return this.lease;
	}

	/**
	 * Whether the lease is confirmed to be held, so that no other process can be
	 * coordinator. The wall clock must agree, since the monotonic clock stands still
	 * while the machine is suspended; if the wall clock was set forward, the next renewal
	 * confirms the lease again.
	 */
	boolean holdsLease(Moment now) {
		return !this.ended && remainingMs(now) > 0;
	}

	/**
	 * Returns for how long the lease is still confirmed by both clocks, in milliseconds;
	 * not positive once it is not. A lease that the store ends while this is positive has
	 * ended early, and the next coordinator may have begun beside this one.
	 */
	long remainingMs(Moment now) {
		Moment until = this.heldUntil;
		return Math.min(until.monotonicMs() - now.monotonicMs(), until.wallMs() - now.wallMs());
	}

	void renewedUntil(Moment until) {
		this.heldUntil = until;
	}

	boolean ended() {
		return this.ended;
	}

	void end() {
		this.ended = true;
	}

	/**
	 * Records a load or write of the coordinator that succeeded.
	 */
	void storeCallSucceeded() {
		this.progress.succeeded();
	}

	/**
	 * Records a load or write of the coordinator that failed. Ends the term if none has
	 * succeeded for long.
	 */
	void storeCallFailed(Moment now) {
		if (this.progress.failed(holdsLease(now), now.monotonicMs())) {
			this.givenUp = true;
			this.ended = true;
		}
	}

	/**
	 * Whether the term was ended because the coordinator got nothing done.
	 */
	boolean givenUp() {
		return this.givenUp;
	}

	/**
	 * Whether any load or write of the coordinator has succeeded.
	 */
	boolean madeProgress() {
		return this.progress.madeAny();
	}

}
