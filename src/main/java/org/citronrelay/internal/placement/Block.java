package org.citronrelay.internal.placement;

import java.util.List;
import java.util.Objects;

import org.citronrelay.Shape;

/**
 * The room set aside for one guaranteed shape of a team.
 *
 * @param id the id: team, guarantee and number
 * @param team the id of the team
 * @param shape the guaranteed shape
 * @param allocations the room of its members
 */
public record Block(String id, String team, Shape shape, List<Allocation> allocations) {

	public Block {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(shape, "shape");
		allocations = List.copyOf(allocations);
	}

}
