package org.citronrelay.internal.placement;

import java.util.List;

import org.citronrelay.Shape;

/**
 * Scores the possible placements of a job; the lowest score is chosen.
 */
public sealed interface PlacementStrategy {

	/**
	 * Returns the score of a placement.
	 * @param vms the indexes of all VMs of the rack or failure domain that is used
	 * @param allocations the placement within it
	 */
	default double score(Fleet fleet, int[] vms, List<Allocation> allocations) {
		return switch (this) {
			case FirstFit _ -> vms[0];
			case BestFit _ -> FreeRuns.idleAccelerators(fleet, vms);
			case ShapePreserving preserving -> preserving.scoreOf(fleet, vms, allocations);
		};
	}

	/**
	 * Chooses the first rack that fits.
	 */
	record FirstFit() implements PlacementStrategy {
	}

	/**
	 * Chooses the rack with the fewest idle accelerators.
	 */
	record BestFit() implements PlacementStrategy {
	}

	/**
	 * Chooses the rack that loses the least free capacity for a reference shape.
	 *
	 * @param reference the largest guaranteed shape
	 * @param fragmentationWeight the weight of this loss, from 0 to 1; the rest of the
	 * weight is on the number of idle accelerators
	 */
	record ShapePreserving(Shape reference, double fragmentationWeight) implements PlacementStrategy {

		private static final double SHAPE_WEIGHT = 100;

		private static final double MEMBER_WEIGHT = 10;

		private double scoreOf(Fleet fleet, int[] vms, List<Allocation> allocations) {
			int before = 0;
			int after = 0;
			for (int vm : vms) {
				before += FreeRuns.countMembers(fleet.vm(vm), this.reference, 0);
				after += FreeRuns.countMembers(fleet.vm(vm), this.reference, takenAccelerators(allocations, vm));
			}
			int shapes = before / this.reference.members() - after / this.reference.members();
			double lost = shapes * SHAPE_WEIGHT + (before - after) * MEMBER_WEIGHT;
			return this.fragmentationWeight * lost
					+ (1 - this.fragmentationWeight) * FreeRuns.idleAccelerators(fleet, vms);
		}

		private static long takenAccelerators(List<Allocation> allocations, int vm) {
			long mask = 0;
			for (Allocation allocation : allocations) {
				mask |= (allocation.vm() == vm) ? allocation.mask() : 0;
			}
			return mask;
		}

	}

}
