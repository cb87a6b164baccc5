package org.citronrelay.internal.schedule;

/**
 * The current time on both clocks.
 *
 * @param monotonicMs monotonic milliseconds, for durations
 * @param wallMs milliseconds since 1970, for times of day; may jump
 */
public record Moment(long monotonicMs, long wallMs) {

	/**
	 * Returns the moment that is later by a duration, in milliseconds.
	 */
	public Moment plus(long millis) {
		return new Moment(this.monotonicMs + millis, this.wallMs + millis);
	}

}
