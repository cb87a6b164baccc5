package org.citronrelay.internal.schedule;

/**
 * How much progress is stored at once.
 *
 * @param entries the largest number of expectations, values and removals
 */
public record WriteLimits(int entries) {
}
