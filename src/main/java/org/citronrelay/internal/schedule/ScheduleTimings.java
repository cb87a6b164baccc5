package org.citronrelay.internal.schedule;

/**
 * The time limits of the scheduler, in milliseconds.
 *
 * @param leaseMs how long a VM runs tasks after the last renewal of its lease
 * @param longestLeaseMs the longest lease that a VM grants to any coordinator
 * @param renewWaitMs how long a VM may wait for a run to end before it answers a renewal
 * @param retryMs how long after an unanswered command or renewal the next one is sent
 * @param stallMs how long a run may make no progress, beyond a tenth of its estimate,
 * before it is stopped and its task moved
 * @param gangWaitMs how long VMs let a member of a gang wait for the others
 * @param stopGraceMs how long a VM may take to stop a run
 * @param quarantineMs how long a quarantined VM gets no new tasks
 */
public record ScheduleTimings(long leaseMs, long longestLeaseMs, long renewWaitMs, long retryMs, long stallMs,
		long gangWaitMs, long stopGraceMs, long quarantineMs) {
}
