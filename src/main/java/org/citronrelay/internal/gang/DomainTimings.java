package org.citronrelay.internal.gang;

/**
 * The time limits of a failure domain, all in milliseconds. The limit for lost members
 * covers at least two renewals and ends at least one renewal interval before a lease that
 * is not renewed expires; the constructor rejects other values.
 *
 * @param leaseMs how long a worker keeps a task whose lease is not renewed
 * @param renewEveryMs the interval between renewals of the task leases
 * @param lostAfterMs how long a member may go unreported before its gang counts as lost
 * @param commandBoundMs the time limit for reserving all members of a gang, and for
 * starting them
 * @param checkpointBoundMs how long a checkpoint may take before the task is stopped
 * @param keepAfterMs how long the job at the head of the queue waits before capacity is
 * reserved for it
 */
public record DomainTimings(long leaseMs, long renewEveryMs, long lostAfterMs, long commandBoundMs,
		long checkpointBoundMs, long keepAfterMs) {

	/** The limits that apply where the settings have none. */
	public static final DomainTimings DEFAULT = new DomainTimings(10_000, 2_000, 5_000, 3_000, 1_000, 2_000);

	public DomainTimings {
		if (renewEveryMs * 2 > lostAfterMs || lostAfterMs + renewEveryMs > leaseMs) {
			throw new IllegalArgumentException(
					"lostAfterMs must be at least 2 * renewEveryMs, and lostAfterMs + renewEveryMs at most leaseMs");
		}
	}

}
