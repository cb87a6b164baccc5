package org.citronrelay.internal.gang;

/**
 * The bounds of time of a failure domain, all in milliseconds.
 *
 * @param leaseMs how long a task lives without renewal
 * @param renewEveryMs how often leases are renewed
 * @param lostAfterMs after how long without a sign a member counts as lost
 * @param commandBoundMs how long reserving or starting a gang may take
 * @param checkpointBoundMs how long a checkpoint may take before the task is stopped
 * @param keepAfterMs how long the job at the head waits before room is kept for it
 */
public record DomainTimings(long leaseMs, long renewEveryMs, long lostAfterMs, long commandBoundMs,
		long checkpointBoundMs, long keepAfterMs) {

	/** The bounds where settings name none. */
	public static final DomainTimings DEFAULT = new DomainTimings(10_000, 2_000, 5_000, 3_000, 1_000, 2_000);

	public DomainTimings {
		if (renewEveryMs * 2 > lostAfterMs || lostAfterMs + renewEveryMs > leaseMs) {
			throw new IllegalArgumentException("a member must be lost after two renewals and before its lease lapses");
		}
	}

}
