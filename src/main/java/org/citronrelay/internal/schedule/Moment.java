package org.citronrelay.internal.schedule;

/**
 * The present time on both clocks.
 *
 * @param ticks monotonic milliseconds, for durations
 * @param wallMs milliseconds since 1970, for what is due at a time of day; may jump
 */
public record Moment(long ticks, long wallMs) {
}
