package org.citronrelay.internal.placement;

import java.util.List;
import java.util.Objects;

import org.citronrelay.Shape;

/**
 * The capacity that is assigned to one guaranteed shape of a team.
 *
 * @param id the id, composed of the team, the index of the guarantee and the number of
 * the shape within it
 * @param team the id of the team
 * @param shape the guaranteed shape
 * @param allocations the capacity for each member of the shape
 */
public record Block(String id, String team, Shape shape, List<Allocation> allocations) {

	public Block {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(shape, "shape");
		allocations = List.copyOf(allocations);
	}

}
