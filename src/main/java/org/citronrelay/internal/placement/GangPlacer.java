package org.citronrelay.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;

import io.vavr.control.Option;
import org.citronrelay.Shape;
import org.citronrelay.Spread;
import org.citronrelay.internal.placement.Holding.HoldingKind;
import org.citronrelay.internal.placement.VmOccupancy.Resource;

/**
 * Places jobs without violating a guarantee.
 *
 * <p>
 * Work that cannot be reclaimed is placed in blocks of its own team or outside all
 * blocks. Work that can be reclaimed may also borrow idle blocks of other teams. So each
 * block is idle or holds only work of its own team and work that can be reclaimed, and
 * all guaranteed shapes can be provided at the same time.
 */
public final class GangPlacer {

	private final PlacementStrategy strategy;

	private final ToLongFunction<String> lostWorkMs;

	/**
	 * Creates a placer.
	 * @param lostWorkMs returns how much work a job, given by its id, loses if it is
	 * stopped now, in milliseconds
	 */
	public GangPlacer(PlacementStrategy strategy, ToLongFunction<String> lostWorkMs) {
		this.strategy = strategy;
		this.lostWorkMs = lostWorkMs;
	}

	/**
	 * Returns a placement for the job, or nothing if the job has to wait.
	 */
	public Option<Placement> place(Fleet fleet, PlacementRequest request) {
		for (CapacitySource source : sourcesInOrder(request)) {
			Option<Placement> placement = choose(fleet, request, source);
			if (placement.isDefined()) {
				return placement;
			}
		}
		return Option.none();
	}

	/**
	 * Returns a placement within the backfill reservation, or nothing if the job has to
	 * wait. For the job that the reservation was made for.
	 */
	public Option<Placement> placeInReservation(Fleet fleet, PlacementRequest request) {
		return choose(fleet, request, new CapacitySource.BackfillReserved(request.team()));
	}

	/**
	 * Returns the allocations that are expected to be free first, as a backfill
	 * reservation for the job at the head of the queue; nothing if the job fits nowhere
	 * outside the blocks of other teams.
	 * @param endsAt returns when a job, given by its id, is expected to end, in monotonic
	 * milliseconds
	 */
	public Option<List<Allocation>> findReservation(Fleet fleet, PlacementRequest request,
			ToLongFunction<String> endsAt) {
		CapacitySource source = new CapacitySource.FreedLater(request.team());
		Option<List<Allocation>> best = Option.none();
		long soonest = Long.MAX_VALUE;
		for (int[] vms : vmGroups(fleet, request.shape())) {
			Option<List<Allocation>> fit = GangFit.fit(fleet, vms, request.shape(), source);
			long freeAt = fit.map((allocations) -> freeAt(fleet, allocations, endsAt)).getOrElse(Long.MAX_VALUE);
			if (freeAt < soonest) {
				best = fit;
				soonest = freeAt;
			}
		}
		return best;
	}

	private static List<CapacitySource> sourcesInOrder(PlacementRequest request) {
		List<CapacitySource> sources = new ArrayList<>();
		sources.add(new CapacitySource.IdleOwnBlocks(request.team()));
		sources.add(new CapacitySource.Common());
		if (request.reclaimable() && !request.urgent()) {
			sources.add(new CapacitySource.Borrowed());
		}
		sources.add(new CapacitySource.ReclaimedOwnBlocks(request.team(), request.urgent()));
		if (request.reclaimable() && request.urgent()) {
			sources.add(new CapacitySource.Borrowed());
		}
		return sources;
	}

	private Option<Placement> choose(Fleet fleet, PlacementRequest request, CapacitySource source) {
		List<Allocation> best = null;
		double bestScore = Double.MAX_VALUE;
		for (int[] vms : vmGroups(fleet, request.shape())) {
			List<Allocation> fit = GangFit.fit(fleet, vms, request.shape(), source).getOrElse((List<Allocation>) null);
			if (fit == null) {
				continue;
			}
			double score = this.strategy.score(fleet, vms, fit) + lostWorkMinutes(fleet, source, fit);
			if (best == null || score < bestScore) {
				best = fit;
				bestScore = score;
			}
		}
		return Option.of(best).map((fit) -> new Placement(fit, kind(source), victims(fleet, source, fit)));
	}

	/**
	 * Returns the work that is lost by stopping the victims, in minutes. In minutes it
	 * outweighs the score of the placement strategy.
	 */
	private double lostWorkMinutes(Fleet fleet, CapacitySource source, List<Allocation> allocations) {
		return victims(fleet, source, allocations).stream().mapToLong(this.lostWorkMs).sum() / 60_000.0;
	}

	private Set<String> victims(Fleet fleet, CapacitySource source, List<Allocation> allocations) {
		Set<String> victims = new HashSet<>();
		for (Allocation allocation : allocations) {
			for (Holding holding : fleet.vm(allocation.vm()).holdings()) {
				if (source.reclaims(holding) && (holding.allocation().mask() & allocation.mask()) != 0) {
					victims.add(holding.job());
				}
			}
		}
		allocations.stream()
			.mapToInt(Allocation::vm)
			.distinct()
			.forEach((vm) -> addVictimsForCoresAndMemory(fleet.vm(vm), vm, source, allocations, victims));
		return victims;
	}

	/**
	 * Adds jobs whose cores or memory the new job needs, those that lose the least work
	 * first.
	 */
	private void addVictimsForCoresAndMemory(VmOccupancy vm, int index, CapacitySource source,
			List<Allocation> allocations, Set<String> victims) {
		List<Holding> candidates = vm.holdings()
			.stream()
			.filter(source::reclaims)
			.sorted(Comparator.comparingLong((holding) -> this.lostWorkMs.applyAsLong(holding.job())))
			.toList();
		for (Resource resource : Resource.values()) {
			int needed = allocations.stream()
				.filter((allocation) -> allocation.vm() == index)
				.mapToInt(resource::of)
				.sum();
			int idle = vm.idleCapacity(resource) + candidates.stream()
				.filter((holding) -> victims.contains(holding.job()))
				.mapToInt((holding) -> resource.of(holding.allocation()))
				.sum();
			for (Holding holding : candidates) {
				if (idle < needed && victims.add(holding.job())) {
					idle += resource.of(holding.allocation());
				}
			}
		}
	}

	private static HoldingKind kind(CapacitySource source) {
		return switch (source) {
			case CapacitySource.IdleOwnBlocks _, CapacitySource.ReclaimedOwnBlocks _ -> HoldingKind.GUARANTEED;
			case CapacitySource.Common _, CapacitySource.BackfillReserved _ -> HoldingKind.COMMON;
			case CapacitySource.Borrowed _, CapacitySource.FreedLater _, CapacitySource.NewBlock _ ->
				HoldingKind.BORROWED;
		};
	}

	private static long freeAt(Fleet fleet, List<Allocation> allocations, ToLongFunction<String> endsAt) {
		long latest = Long.MIN_VALUE;
		for (Allocation allocation : allocations) {
			for (Holding holding : fleet.vm(allocation.vm()).holdings()) {
				if ((holding.allocation().mask() & allocation.mask()) != 0) {
					latest = Math.max(latest, endsAt.applyAsLong(holding.job()));
				}
			}
		}
		return latest;
	}

	/**
	 * Returns the groups of VMs within which a shape may be placed: each rack, or the
	 * whole failure domain.
	 */
	static List<int[]> vmGroups(Fleet fleet, Shape shape) {
		return (shape.spread() == Spread.RACK) ? fleet.racks() : List.of(fleet.allIndexes());
	}

}
