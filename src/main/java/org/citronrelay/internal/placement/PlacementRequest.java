package org.citronrelay.internal.placement;

import java.util.Objects;

import org.citronrelay.Shape;

/**
 * A request to place one job.
 *
 * @param job the id of the job
 * @param team the id of the team that owns the job
 * @param shape the members and the resources that the job needs
 * @param reclaimable whether the job can be stopped so that a guaranteed block becomes
 * available to its team
 * @param urgent whether the job is urgent, so that reclaimable work of the same team that
 * is not urgent may be stopped for it
 */
public record PlacementRequest(String job, String team, Shape shape, boolean reclaimable, boolean urgent) {

	public PlacementRequest {
		Objects.requireNonNull(job, "job");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(shape, "shape");
	}

}
