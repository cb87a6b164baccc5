package org.citronrelay.internal.placement;

import java.util.List;

import org.citronrelay.Shape;

/**
 * How one of several possible placements is chosen; the lowest score wins.
 */
public sealed interface PlacementStrategy {

	/**
	 * The score of a placement in the rack or domain given by its VMs.
	 */
	default double score(Fleet fleet, int[] vms, List<Allocation> allocations) {
		return switch (this) {
			case FirstFit _ -> vms[0];
			case BestFit _ -> FreeRuns.idle(fleet, vms);
			case ShapePreserving preserving -> preserving.scoreOf(fleet, vms, allocations);
		};
	}

	/**
	 * The first place that fits.
	 */
	record FirstFit() implements PlacementStrategy {
	}

	/**
	 * The place with the least idle accelerators.
	 */
	record BestFit() implements PlacementStrategy {
	}

	/**
	 * The place that destroys the fewest places of a reference shape.
	 *
	 * @param reference the largest guaranteed shape
	 * @param fragmentation the weight of what is destroyed against what is left over
	 */
	record ShapePreserving(Shape reference, double fragmentation) implements PlacementStrategy {

		private static final double WHOLE_SHAPE = 100;

		private static final double ONE_MEMBER = 10;

		private double scoreOf(Fleet fleet, int[] vms, List<Allocation> allocations) {
			int before = 0;
			int after = 0;
			for (int vm : vms) {
				before += FreeRuns.count(fleet.vm(vm), this.reference, 0);
				after += FreeRuns.count(fleet.vm(vm), this.reference, taken(allocations, vm));
			}
			int shapes = before / this.reference.members() - after / this.reference.members();
			double destroyed = shapes * WHOLE_SHAPE + (before - after) * ONE_MEMBER;
			return this.fragmentation * destroyed + (1 - this.fragmentation) * FreeRuns.idle(fleet, vms);
		}

		private static long taken(List<Allocation> allocations, int vm) {
			long mask = 0;
			for (Allocation allocation : allocations) {
				mask |= (allocation.vm() == vm) ? allocation.mask() : 0;
			}
			return mask;
		}

	}

}
