package org.citronrelay.internal.schedule;

/**
 * How much progress is stored at once.
 *
 * @param entries the largest number of expectations, values and removals
 * @param bytes the largest size of the documents of all jobs but the first
 */
public record WriteLimits(int entries, int bytes) {
}
