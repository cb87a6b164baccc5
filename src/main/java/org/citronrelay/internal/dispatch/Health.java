package org.citronrelay.internal.dispatch;

/**
 * What a process knows of one worker's answers. Immutable; {@link EjectionPolicy} makes
 * the next one.
 *
 * @param failureShare the smoothed share of requests that failed
 * @param samples how many answers it rests on
 * @param ejections how often in a row the worker was ejected
 * @param ejectedUntil until when it gets no requests, in monotonic milliseconds
 * @param probation how many good answers it still owes after an ejection
 */
record Health(double failureShare, int samples, int ejections, long ejectedUntil, int probation) {

	static final Health GOOD = new Health(0, 0, 0, Long.MIN_VALUE, 0);

	boolean ejectedAt(long now) {
		return now < this.ejectedUntil;
	}

}
