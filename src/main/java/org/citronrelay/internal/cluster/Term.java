package org.citronrelay.internal.cluster;

/**
 * One term in office of a coordinator.
 */
final class Term {

	private final long token;

	private final String lease;

	private volatile long sureUntil;

	private volatile boolean over;

	Term(long token, String lease, long sureUntil) {
		this.token = token;
		this.lease = lease;
		this.sureUntil = sureUntil;
	}

	/**
	 * The revision of the record of this term; later terms have greater ones.
	 */
	long token() {
		return this.token;
	}

	String lease() {
		return this.lease;
	}

	/**
	 * Whether no other coordinator can be in office yet.
	 * @param now the present time in ticks
	 */
	boolean sure(long now) {
		return !this.over && now < this.sureUntil;
	}

	void renewed(long until) {
		this.sureUntil = until;
	}

	boolean over() {
		return this.over;
	}

	void end() {
		this.over = true;
	}

}
