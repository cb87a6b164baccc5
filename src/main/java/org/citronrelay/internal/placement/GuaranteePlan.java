package org.citronrelay.internal.placement;

import java.util.List;
import java.util.Objects;

import org.citronrelay.Shape;

/**
 * The blocks of all guarantees of a failure domain.
 *
 * @param blocks the blocks, no two of which overlap
 * @param shortfalls the guarantees for which there is no block at present
 */
public record GuaranteePlan(List<Block> blocks, List<Shortfall> shortfalls) {

	/** A plan without guarantees. */
	public static final GuaranteePlan EMPTY = new GuaranteePlan(List.of(), List.of());

	public GuaranteePlan {
		blocks = List.copyOf(blocks);
		shortfalls = List.copyOf(shortfalls);
	}

	/**
	 * One guaranteed shape that is wanted.
	 *
	 * @param id the id of its block
	 * @param team the id of the team
	 * @param priority the rank of the team's class
	 * @param shape the shape
	 * @param pointer its place in the catalogue
	 */
	public record Wanted(String id, String team, int priority, Shape shape, String pointer) {

		public Wanted {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(team, "team");
			Objects.requireNonNull(shape, "shape");
			Objects.requireNonNull(pointer, "pointer");
		}

	}

	/**
	 * A guaranteed shape that cannot be had at present.
	 *
	 * @param wanted the shape
	 * @param reason why not
	 */
	public record Shortfall(Wanted wanted, String reason) {
	}

}
