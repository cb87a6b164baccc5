package org.citronrelay.internal.cluster;

/**
 * One term of a coordinator, from its election until its lease ends.
 */
final class Term {

	private final long token;

	private final String lease;

	private volatile long heldUntil;

	private volatile boolean ended;

	/**
	 * Creates a term.
	 * @param heldUntil the time until which the lease is confirmed to be held, in
	 * monotonic milliseconds
	 */
	Term(long token, String lease, long heldUntil) {
		this.token = token;
		this.lease = lease;
		this.heldUntil = heldUntil;
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
	 * coordinator.
	 * @param now the present time, in monotonic milliseconds
	 */
	boolean holdsLease(long now) {
		return !this.ended && now < this.heldUntil;
	}

	void renewedUntil(long until) {
		this.heldUntil = until;
	}

	boolean ended() {
		return this.ended;
	}

	void end() {
		this.ended = true;
	}

}
