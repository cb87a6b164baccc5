package org.citronrelay.internal.placement;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.citronrelay.internal.placement.Holding.Tenure;

/**
 * Where a job is to run.
 *
 * @param allocations the room of each member
 * @param tenure under which right
 * @param victims the jobs that have to give their room back first
 */
public record Choice(List<Allocation> allocations, Tenure tenure, Set<String> victims) {

	public Choice {
		allocations = List.copyOf(allocations);
		Objects.requireNonNull(tenure, "tenure");
		victims = Set.copyOf(victims);
	}

	/**
	 * What the job holds with this choice.
	 */
	public List<Holding> holdings(Ask ask) {
		return this.allocations.stream()
			.map((allocation) -> new Holding(ask.job(), ask.team(), allocation, ask.reclaimable(), ask.urgent(),
					this.tenure))
			.toList();
	}

}
