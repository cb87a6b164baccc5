package org.citronrelay.internal.placement;

import java.util.List;
import java.util.Objects;

import org.citronrelay.Shape;

/**
 * The blocks of all guarantees of a failure domain.
 *
 * @param blocks the blocks, no two of which overlap
 * @param shortfalls the guaranteed shapes for which there is no block
 */
public record GuaranteePlan(List<Block> blocks, List<Shortfall> shortfalls) {

	/** A plan without guarantees. */
	public static final GuaranteePlan EMPTY = new GuaranteePlan(List.of(), List.of());

	public GuaranteePlan {
		blocks = List.copyOf(blocks);
		shortfalls = List.copyOf(shortfalls);
	}

	/**
	 * One guaranteed shape of the catalogue. A guarantee with a count of n gives n of
	 * them.
	 *
	 * @param id the id of the block for this shape
	 * @param team the id of the team
	 * @param priority the priority of the team's service class; 0 is the most important
	 * @param shape the shape
	 * @param pointer the JSON pointer to the guarantee in the catalogue
	 */
	public record GuaranteedShape(String id, String team, int priority, Shape shape, String pointer) {

		public GuaranteedShape {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(team, "team");
			Objects.requireNonNull(shape, "shape");
			Objects.requireNonNull(pointer, "pointer");
		}

	}

	/**
	 * A guaranteed shape that does not fit on the VMs that are currently usable.
	 *
	 * @param guaranteedShape the shape
	 * @param reason why there is no block for it
	 */
	public record Shortfall(GuaranteedShape guaranteedShape, String reason) {
	}

}
