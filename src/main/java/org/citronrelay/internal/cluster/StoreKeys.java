package org.citronrelay.internal.cluster;

/**
 * The keys of the cluster's records in the store.
 */
final class StoreKeys {

	/** Address, identity and lease of the coordinator; lives under its lease. */
	static final String COORDINATOR = "cr/coordinator";

	/**
	 * Written by a coordinator that offers leases again after its term was unconfirmed.
	 * Its revision identifies the {@link OfferPeriod}; the value is the token of the
	 * term.
	 */
	static final String LEASE_OFFERS = "cr/lease-offers";

	/** Prefix of accepted jobs and cancellations, which the coordinator watches. */
	static final String WORK = "cr/work/";

	/** Prefix of accepted jobs, each written once by the process that accepted it. */
	static final String JOBS = WORK + "job/";

	/** Prefix of cancellations, each written once by the process that received it. */
	static final String CANCELS = WORK + "cancel/";

	/** Prefix of the progress of jobs, written by the coordinator only. */
	static final String PROGRESS = "cr/progress/";

	/** The number of queued jobs of each queue, written by the coordinator only. */
	static final String QUEUED_JOBS = "cr/waiting";

	/** Prefix of the peer addresses of processes; each lives under a lease. */
	static final String PROCESSES = "cr/member/";

	private StoreKeys() {
	}

}
