package org.citronrelay.internal.placement;

import java.util.Objects;

import org.citronrelay.Shape;

/**
 * A job that asks for room.
 *
 * @param job the id of the job
 * @param team the id of its team
 * @param shape what it needs
 * @param reclaimable whether it can be told to give its room back
 * @param urgent whether the team's own reclaimable work yields to it
 */
public record Ask(String job, String team, Shape shape, boolean reclaimable, boolean urgent) {

	public Ask {
		Objects.requireNonNull(job, "job");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(shape, "shape");
	}

}
