package org.citronrelay.internal.placement;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.citronrelay.internal.placement.Holding.HoldingKind;

/**
 * The result of placing a job.
 *
 * @param allocations the resources of each member
 * @param kind the kind of holding that the job gets
 * @param victims the ids of the jobs that must be stopped before the job can start
 */
public record Placement(List<Allocation> allocations, HoldingKind kind, Set<String> victims) {

	public Placement {
		allocations = List.copyOf(allocations);
		Objects.requireNonNull(kind, "kind");
		victims = Set.copyOf(victims);
	}

	/**
	 * Returns the holdings that the job has once it is placed, one for each member.
	 */
	public List<Holding> holdings(PlacementRequest request) {
		return this.allocations.stream()
			.map((allocation) -> new Holding(request.job(), request.team(), allocation, request.reclaimable(),
					request.urgent(), this.kind))
			.toList();
	}

}
