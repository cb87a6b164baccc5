package org.citronrelay.internal.placement;

import java.util.Objects;

/**
 * The resources that one member of a job holds on a VM.
 *
 * @param job the id of the job
 * @param team the id of its team
 * @param allocation the resources that are held
 * @param reclaimable whether the job can be stopped so that its resources become free for
 * a team with a guarantee
 * @param urgent whether the job is urgent, so that it is not stopped for other work of
 * its team
 * @param kind where the resources lie in relation to guaranteed blocks
 */
public record Holding(String job, String team, Allocation allocation, boolean reclaimable, boolean urgent,
		HoldingKind kind) {

	public Holding {
		Objects.requireNonNull(job, "job");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(allocation, "allocation");
		Objects.requireNonNull(kind, "kind");
	}

	Holding withKind(HoldingKind newKind) {
		return new Holding(this.job, this.team, this.allocation, this.reclaimable, this.urgent, newKind);
	}

	/**
	 * Where the held resources lie in relation to guaranteed blocks.
	 */
	public enum HoldingKind {

		/** Within a guaranteed block of the job's own team. */
		GUARANTEED,
		/** Outside all guaranteed blocks. */
		COMMON,
		/**
		 * In capacity guaranteed to another team or under a backfill reservation for a
		 * waiting job.
		 */
		BORROWED

	}

}
