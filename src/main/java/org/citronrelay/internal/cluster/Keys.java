package org.citronrelay.internal.cluster;

/**
 * The keys under which the cluster keeps its records.
 */
final class Keys {

	/** Who coordinates; lives under a lease. */
	static final String COORDINATOR = "cr/coordinator";

	/** Accepted jobs and their cancellations; the coordinator watches these. */
	static final String WORK = "cr/work/";

	/** Accepted jobs, written once by the process that accepted them. */
	static final String JOBS = WORK + "job/";

	/** Cancellations, written once by the process that took them. */
	static final String CANCELS = WORK + "cancel/";

	/** The progress of jobs, written by the coordinator only. */
	static final String PROGRESS = "cr/progress/";

	/** How many jobs wait in each queue, written by the coordinator only. */
	static final String WAITING = "cr/waiting";

	/** Where each process is reached by its peers; live under leases. */
	static final String MEMBERS = "cr/member/";

	private Keys() {
	}

}
