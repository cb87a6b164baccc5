package org.citronrelay.internal.dispatch;

/**
 * The failures of one worker as seen by this process. Immutable; {@link EjectionPolicy}
 * returns the next state.
 *
 * @param failureShare the exponentially smoothed share of requests that failed, from 0 to
 * 1
 * @param samples the number of results in that share
 * @param ejections the number of consecutive ejections
 * @param ejectedUntil the end of the latest ejection, in monotonic milliseconds
 * @param probationRemaining the number of successes that are still needed to end the
 * probation after an ejection; 0 if the worker is not on probation
 */
record Health(double failureShare, int samples, int ejections, long ejectedUntil, int probationRemaining) {

	static final Health INITIAL = new Health(0, 0, 0, Long.MIN_VALUE, 0);

	boolean ejectedAt(long now) {
		return now < this.ejectedUntil;
	}

}
