package org.citronrelay.internal.placement;

import java.util.Objects;

import org.citronrelay.internal.placement.Holding.HoldingKind;
import org.citronrelay.internal.placement.VmOccupancy.Resource;

/**
 * The part of the capacity of a VM that a placement may use. {@link GangPlacer} tries the
 * sources in an order that uses idle capacity before capacity that must be reclaimed.
 */
sealed interface CapacitySource {

	/**
	 * Returns the mask of the accelerators that may be used.
	 */
	default long allowed(VmOccupancy vm) {
		return switch (this) {
			case IdleOwnBlocks own -> vm.blockAcceleratorsOf(own.team()) & ~vm.heldAccelerators();
			case Common _ ->
				vm.allAccelerators() & ~vm.heldAccelerators() & ~vm.blockAccelerators() & ~vm.backfillReserved();
			case Borrowed _ -> vm.allAccelerators() & ~vm.heldAccelerators();
			case ReclaimedOwnBlocks own -> vm.blockAcceleratorsOf(own.team()) & ~heldAfterReclaim(vm, own);
			case BackfillReserved reservation -> vm.backfillReserved() & ~heldNonBorrowed(vm)
					& ~(vm.blockAccelerators() & ~vm.blockAcceleratorsOf(reservation.team()));
			case FreedLater later ->
				vm.allAccelerators() & ~(vm.blockAccelerators() & ~vm.blockAcceleratorsOf(later.team()));
			case NewBlock newBlock ->
				vm.allAccelerators() & ~vm.blockAccelerators() & ~vm.nonReclaimableByOthers(newBlock.team());
		};
	}

	/**
	 * Returns the mask of the accelerators that other jobs hold and that must become free
	 * first.
	 */
	default long occupied(VmOccupancy vm) {
		return switch (this) {
			case IdleOwnBlocks _, Common _, Borrowed _ -> 0;
			case ReclaimedOwnBlocks _, BackfillReserved _, FreedLater _, NewBlock _ -> vm.heldAccelerators();
		};
	}

	/**
	 * Returns the cores or the memory, in gigabytes, that may be used; negative where the
	 * VM is overcommitted.
	 */
	default int available(VmOccupancy vm, Resource resource) {
		return switch (this) {
			case IdleOwnBlocks own -> Math.min(vm.idleCapacity(resource), vm.capacityFor(resource, own.team(), false));
			case Common _ ->
				(vm.backfillReserved() != 0) ? 0 : Math.min(vm.idleCapacity(resource), vm.commonCapacity(resource));
			case Borrowed _ -> vm.idleCapacity(resource);
			case ReclaimedOwnBlocks own -> vm.capacityFor(resource, own.team(), true)
					+ (own.urgent() ? capacityYieldingToUrgent(vm, resource, own.team()) : 0);
			case BackfillReserved reservation -> vm.capacityFor(resource, reservation.team(), true);
			case FreedLater _ -> resource.of(vm.vm()) - guaranteedCapacity(vm, resource);
			case NewBlock _ ->
				resource.of(vm.vm()) - guaranteedCapacity(vm, resource) - nonReclaimableCapacity(vm, resource);
		};
	}

	/**
	 * Whether the job of a holding is stopped when its resources are used.
	 */
	default boolean reclaims(Holding holding) {
		return switch (this) {
			case IdleOwnBlocks _, Common _, Borrowed _, FreedLater _, NewBlock _ -> false;
			case ReclaimedOwnBlocks own -> holding.reclaimable() && (holding.kind() == HoldingKind.BORROWED
					|| (own.urgent() && yieldsToUrgent(holding, own.team())));
			case BackfillReserved _ -> holding.reclaimable() && holding.kind() == HoldingKind.BORROWED;
		};
	}

	/**
	 * Whether guaranteed work of a team is stopped for urgent work of the same team.
	 * Urgent work never is, as two urgent jobs would keep stopping each other.
	 */
	private static boolean yieldsToUrgent(Holding holding, String team) {
		return holding.reclaimable() && !holding.urgent() && holding.team().equals(team)
				&& holding.kind() == HoldingKind.GUARANTEED;
	}

	private static int guaranteedCapacity(VmOccupancy vm, Resource resource) {
		return vm.blockParts().stream().mapToInt((part) -> resource.of(part.allocation())).sum();
	}

	private static int nonReclaimableCapacity(VmOccupancy vm, Resource resource) {
		return vm.holdings()
			.stream()
			.filter((holding) -> !holding.reclaimable() && holding.kind() != HoldingKind.GUARANTEED)
			.mapToInt((holding) -> resource.of(holding.allocation()))
			.sum();
	}

	private static int capacityYieldingToUrgent(VmOccupancy vm, Resource resource, String team) {
		return vm.holdings()
			.stream()
			.filter((holding) -> yieldsToUrgent(holding, team))
			.mapToInt((holding) -> resource.of(holding.allocation()))
			.sum();
	}

	private static long heldAfterReclaim(VmOccupancy vm, ReclaimedOwnBlocks own) {
		long mask = 0;
		for (Holding holding : vm.holdings()) {
			mask |= own.reclaims(holding) ? 0 : holding.allocation().mask();
		}
		return mask;
	}

	private static long heldNonBorrowed(VmOccupancy vm) {
		long mask = 0;
		for (Holding holding : vm.holdings()) {
			boolean borrowed = holding.reclaimable() && holding.kind() == HoldingKind.BORROWED;
			mask |= borrowed ? 0 : holding.allocation().mask();
		}
		return mask;
	}

	/**
	 * Idle capacity in the team's own blocks.
	 *
	 * @param team the id of the team
	 */
	record IdleOwnBlocks(String team) implements CapacitySource {

		public IdleOwnBlocks {
			Objects.requireNonNull(team, "team");
		}

	}

	/**
	 * Idle capacity outside all guaranteed blocks and backfill reservations.
	 */
	record Common() implements CapacitySource {
	}

	/**
	 * Any idle capacity, including the blocks of other teams; only for work that can be
	 * reclaimed.
	 */
	record Borrowed() implements CapacitySource {
	}

	/**
	 * Capacity in the team's own blocks that other jobs have borrowed.
	 *
	 * @param team the id of the team
	 * @param urgent whether reclaimable work of the same team that is not urgent is
	 * stopped too
	 */
	record ReclaimedOwnBlocks(String team, boolean urgent) implements CapacitySource {

		public ReclaimedOwnBlocks {
			Objects.requireNonNull(team, "team");
		}

	}

	/**
	 * The backfill reservation for the job at the head of the queue.
	 *
	 * @param team the id of the team of the job
	 */
	record BackfillReserved(String team) implements CapacitySource {

		public BackfillReserved {
			Objects.requireNonNull(team, "team");
		}

	}

	/**
	 * Capacity that will be free once the jobs that hold it have ended; for choosing a
	 * backfill reservation.
	 *
	 * @param team the id of the team
	 */
	record FreedLater(String team) implements CapacitySource {

		public FreedLater {
			Objects.requireNonNull(team, "team");
		}

	}

	/**
	 * Capacity for a new guaranteed block: outside existing blocks, and not held by work
	 * of other teams that cannot be reclaimed.
	 *
	 * @param team the id of the team
	 */
	record NewBlock(String team) implements CapacitySource {

		public NewBlock {
			Objects.requireNonNull(team, "team");
		}

	}

}
