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
import org.citronrelay.internal.placement.Holding.Tenure;
import org.citronrelay.internal.placement.VmState.Resource;

/**
 * Finds room for a job without ever breaking a guarantee.
 *
 * <p>
 * Work that cannot be reclaimed is placed in blocks of its own team or where no team has
 * one. Work that can be reclaimed may borrow idle blocks. So each block holds work of its
 * own team, or work that can be told to leave, or nothing: the guaranteed shapes of all
 * teams can be had at once.
 */
public final class Placer {

	private final PlacementStrategy strategy;

	private final ToLongFunction<String> lostWorkMs;

	/**
	 * Creates a placer.
	 * @param lostWorkMs how much work a job loses when it is reclaimed now, in
	 * milliseconds
	 */
	public Placer(PlacementStrategy strategy, ToLongFunction<String> lostWorkMs) {
		this.strategy = strategy;
		this.lostWorkMs = lostWorkMs;
	}

	/**
	 * Room for a job, or nothing if it has to wait.
	 */
	public Option<Choice> place(Fleet fleet, Ask ask) {
		for (Room room : order(ask)) {
			Option<Choice> choice = choose(fleet, ask, room);
			if (choice.isDefined()) {
				return choice;
			}
		}
		return Option.none();
	}

	/**
	 * Room for the job for which room is kept.
	 */
	public Option<Choice> placeInKept(Fleet fleet, Ask ask) {
		return choose(fleet, ask, new Room.Kept(ask.team()));
	}

	/**
	 * The room that will be free soonest, for the job at the head of the queue.
	 * @param endsAt when a job is expected to end, in monotonic milliseconds
	 */
	public Option<List<Allocation>> roomToKeep(Fleet fleet, Ask ask, ToLongFunction<String> endsAt) {
		Room room = new Room.Eventual(ask.team());
		Option<List<Allocation>> best = Option.none();
		long soonest = Long.MAX_VALUE;
		for (int[] vms : places(fleet, ask.shape())) {
			Option<List<Allocation>> fit = GangFit.fit(fleet, vms, ask.shape(), room);
			long freeAt = fit.map((allocations) -> freeAt(fleet, allocations, endsAt)).getOrElse(Long.MAX_VALUE);
			if (freeAt < soonest) {
				best = fit;
				soonest = freeAt;
			}
		}
		return best;
	}

	private static List<Room> order(Ask ask) {
		List<Room> order = new ArrayList<>();
		order.add(new Room.OwnIdle(ask.team()));
		order.add(new Room.Common());
		if (ask.reclaimable() && !ask.urgent()) {
			order.add(new Room.Borrowed());
		}
		order.add(new Room.OwnReclaimed(ask.team(), ask.urgent()));
		if (ask.reclaimable() && ask.urgent()) {
			order.add(new Room.Borrowed());
		}
		return order;
	}

	private Option<Choice> choose(Fleet fleet, Ask ask, Room room) {
		List<Allocation> best = null;
		double bestScore = Double.MAX_VALUE;
		for (int[] vms : places(fleet, ask.shape())) {
			List<Allocation> fit = GangFit.fit(fleet, vms, ask.shape(), room).getOrElse((List<Allocation>) null);
			if (fit == null) {
				continue;
			}
			double score = this.strategy.score(fleet, vms, fit) + cost(fleet, room, fit);
			if (best == null || score < bestScore) {
				best = fit;
				bestScore = score;
			}
		}
		return Option.of(best).map((fit) -> new Choice(fit, tenure(room), victims(fleet, room, fit)));
	}

	/**
	 * The work that is lost when room is reclaimed, in minutes, so that it outweighs the
	 * score of the place.
	 */
	private double cost(Fleet fleet, Room room, List<Allocation> allocations) {
		return victims(fleet, room, allocations).stream().mapToLong(this.lostWorkMs).sum() / 60_000.0;
	}

	private Set<String> victims(Fleet fleet, Room room, List<Allocation> allocations) {
		Set<String> victims = new HashSet<>();
		for (Allocation allocation : allocations) {
			for (Holding holding : fleet.vm(allocation.vm()).holdings()) {
				if (room.yields(holding) && (holding.allocation().mask() & allocation.mask()) != 0) {
					victims.add(holding.job());
				}
			}
		}
		allocations.stream()
			.mapToInt(Allocation::vm)
			.distinct()
			.forEach((vm) -> addForAmounts(fleet.vm(vm), vm, room, allocations, victims));
		return victims;
	}

	/**
	 * Adds jobs that hold cores or memory the new job needs, those that lose least first.
	 */
	private void addForAmounts(VmState vm, int index, Room room, List<Allocation> allocations, Set<String> victims) {
		List<Holding> yielding = vm.holdings()
			.stream()
			.filter(room::yields)
			.sorted(Comparator.comparingLong((holding) -> this.lostWorkMs.applyAsLong(holding.job())))
			.toList();
		for (Resource resource : Resource.values()) {
			int needed = allocations.stream()
				.filter((allocation) -> allocation.vm() == index)
				.mapToInt(resource::of)
				.sum();
			int idle = vm.idleRoom(resource) + yielding.stream()
				.filter((holding) -> victims.contains(holding.job()))
				.mapToInt((holding) -> resource.of(holding.allocation()))
				.sum();
			for (Holding holding : yielding) {
				if (idle < needed && victims.add(holding.job())) {
					idle += resource.of(holding.allocation());
				}
			}
		}
	}

	private static Tenure tenure(Room room) {
		return switch (room) {
			case Room.OwnIdle _, Room.OwnReclaimed _ -> Tenure.GUARANTEED;
			case Room.Common _, Room.Kept _ -> Tenure.COMMON;
			case Room.Borrowed _, Room.Eventual _, Room.SetAside _ -> Tenure.BORROWED;
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

	static List<int[]> places(Fleet fleet, Shape shape) {
		return (shape.spread() == Spread.RACK) ? fleet.racks() : List.of(fleet.everywhere());
	}

}
