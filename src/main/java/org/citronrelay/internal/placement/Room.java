package org.citronrelay.internal.placement;

import java.util.Objects;

import org.citronrelay.internal.placement.Holding.Tenure;
import org.citronrelay.internal.placement.VmState.Resource;

/**
 * Which part of a VM a gang may take. The kinds are tried in an order that takes what
 * costs nobody anything first.
 */
sealed interface Room {

	/**
	 * The accelerators that may be taken.
	 */
	default long allowed(VmState vm) {
		return switch (this) {
			case OwnIdle own -> vm.setAsideFor(own.team()) & ~vm.held();
			case Common _ -> vm.all() & ~vm.held() & ~vm.setAside() & ~vm.kept();
			case Borrowed _ -> vm.all() & ~vm.held();
			case OwnReclaimed own -> vm.setAsideFor(own.team()) & ~heldFor(vm, own);
			case Kept kept -> vm.kept() & ~heldFirmly(vm) & ~(vm.setAside() & ~vm.setAsideFor(kept.team()));
			case Eventual eventual -> vm.all() & ~(vm.setAside() & ~vm.setAsideFor(eventual.team()));
			case SetAside setAside -> vm.all() & ~vm.setAside() & ~vm.heldForGoodByOthers(setAside.team());
		};
	}

	/**
	 * The accelerators among the allowed ones that others must give back first.
	 */
	default long costly(VmState vm) {
		return switch (this) {
			case OwnIdle _, Common _, Borrowed _ -> 0;
			case OwnReclaimed _, Kept _, Eventual _, SetAside _ -> vm.held();
		};
	}

	/**
	 * The cores or memory that may be taken.
	 */
	default int amount(VmState vm, Resource resource) {
		return switch (this) {
			case OwnIdle own -> Math.min(vm.idleRoom(resource), vm.ownRoom(resource, own.team(), false));
			case Common _ -> (vm.kept() != 0) ? 0 : Math.min(vm.idleRoom(resource), vm.commonRoom(resource));
			case Borrowed _ -> vm.idleRoom(resource);
			case OwnReclaimed own ->
				vm.ownRoom(resource, own.team(), true) + (own.urgent() ? yielding(vm, resource, own.team()) : 0);
			case Kept kept -> vm.ownRoom(resource, kept.team(), true);
			case Eventual _ -> resource.of(vm.vm()) - reserved(vm, resource);
			case SetAside _ -> resource.of(vm.vm()) - reserved(vm, resource) - heldForGood(vm, resource);
		};
	}

	/**
	 * Whether a holding has to go when its room is taken.
	 */
	default boolean yields(Holding holding) {
		return switch (this) {
			case OwnIdle _, Common _, Borrowed _, Eventual _, SetAside _ -> false;
			case OwnReclaimed own -> holding.reclaimable()
					&& (holding.tenure() == Tenure.BORROWED || (own.urgent() && yieldsToUrgent(holding, own.team())));
			case Kept _ -> holding.reclaimable() && holding.tenure() == Tenure.BORROWED;
		};
	}

	/**
	 * Whether guaranteed work of a team yields to urgent work of the same team. Urgent
	 * work never does: two urgent jobs would reclaim each other for ever.
	 */
	private static boolean yieldsToUrgent(Holding holding, String team) {
		return holding.reclaimable() && !holding.urgent() && holding.team().equals(team)
				&& holding.tenure() == Tenure.GUARANTEED;
	}

	private static int reserved(VmState vm, Resource resource) {
		return vm.parts().stream().mapToInt((part) -> resource.of(part.allocation())).sum();
	}

	private static int heldForGood(VmState vm, Resource resource) {
		return vm.holdings()
			.stream()
			.filter((holding) -> !holding.reclaimable() && holding.tenure() != Tenure.GUARANTEED)
			.mapToInt((holding) -> resource.of(holding.allocation()))
			.sum();
	}

	private static int yielding(VmState vm, Resource resource, String team) {
		return vm.holdings()
			.stream()
			.filter((holding) -> yieldsToUrgent(holding, team))
			.mapToInt((holding) -> resource.of(holding.allocation()))
			.sum();
	}

	private static long heldFor(VmState vm, OwnReclaimed own) {
		long mask = 0;
		for (Holding holding : vm.holdings()) {
			mask |= own.yields(holding) ? 0 : holding.allocation().mask();
		}
		return mask;
	}

	private static long heldFirmly(VmState vm) {
		long mask = 0;
		for (Holding holding : vm.holdings()) {
			boolean yields = holding.reclaimable() && holding.tenure() == Tenure.BORROWED;
			mask |= yields ? 0 : holding.allocation().mask();
		}
		return mask;
	}

	/**
	 * Idle room in the team's own blocks.
	 *
	 * @param team the id of the team
	 */
	record OwnIdle(String team) implements Room {

		public OwnIdle {
			Objects.requireNonNull(team, "team");
		}

	}

	/**
	 * Idle room that belongs to nobody.
	 */
	record Common() implements Room {
	}

	/**
	 * Any idle room, other teams' blocks included; for work that can be reclaimed.
	 */
	record Borrowed() implements Room {
	}

	/**
	 * Room in the team's own blocks that others have borrowed.
	 *
	 * @param team the id of the team
	 * @param urgent whether the team's own reclaimable work yields too
	 */
	record OwnReclaimed(String team, boolean urgent) implements Room {

		public OwnReclaimed {
			Objects.requireNonNull(team, "team");
		}

	}

	/**
	 * The room kept for the job at the head of the queue.
	 *
	 * @param team the id of its team
	 */
	record Kept(String team) implements Room {

		public Kept {
			Objects.requireNonNull(team, "team");
		}

	}

	/**
	 * Room that will be free once those who hold it have ended; for choosing what to
	 * keep.
	 *
	 * @param team the id of the team
	 */
	record Eventual(String team) implements Room {

		public Eventual {
			Objects.requireNonNull(team, "team");
		}

	}

	/**
	 * Room for a guaranteed block: nobody's block, and nothing of other teams that cannot
	 * be reclaimed.
	 *
	 * @param team the id of the team
	 */
	record SetAside(String team) implements Room {

		public SetAside {
			Objects.requireNonNull(team, "team");
		}

	}

}
