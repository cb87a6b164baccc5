package org.citronrelay.internal.placement;

import java.util.Objects;

/**
 * A member of a job that holds room on a VM.
 *
 * @param job the id of the job
 * @param team the id of its team
 * @param allocation the room
 * @param reclaimable whether the job can be told to give it back
 * @param urgent whether it is urgent, and yields to no other work of its team
 * @param tenure under which right it is held
 */
public record Holding(String job, String team, Allocation allocation, boolean reclaimable, boolean urgent,
		Tenure tenure) {

	public Holding {
		Objects.requireNonNull(job, "job");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(allocation, "allocation");
		Objects.requireNonNull(tenure, "tenure");
	}

	Holding withTenure(Tenure newTenure) {
		return new Holding(this.job, this.team, this.allocation, this.reclaimable, this.urgent, newTenure);
	}

	/**
	 * Under which right room is held.
	 */
	public enum Tenure {

		/** Within a guaranteed block of the own team. */
		GUARANTEED,
		/** Where no team has a guarantee. */
		COMMON,
		/**
		 * In an idle guaranteed block of another team, or in room kept for a waiting job.
		 */
		BORROWED

	}

}
