package org.citronrelay.internal.schedule;

/**
 * The bounds of time of the coordinator, in milliseconds.
 *
 * @param leaseMs how long a VM runs tasks without hearing from the coordinator
 * @param longestLeaseMs the longest lease that a VM grants to anyone
 * @param renewWaitMs how long a VM may wait for an end before it answers a renewal
 * @param retryMs how long until an order without an answer is given again
 * @param stallMs how long a task may stand still before it is moved
 * @param gangWaitMs how long VMs let a member of a gang wait for the others
 * @param heartbeatMs how often a VM renews its registration
 * @param benchMs how long a VM that fails what it starts gets nothing new
 */
public record ScheduleTimings(long leaseMs, long longestLeaseMs, long renewWaitMs, long retryMs, long stallMs,
		long gangWaitMs, long heartbeatMs, long benchMs) {
}
