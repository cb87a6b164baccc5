package org.citronrelay.internal.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

import io.vavr.control.Option;
import org.citronrelay.Shape;
import org.citronrelay.internal.placement.VmOccupancy.Resource;

/**
 * Fits the members of a gang into a set of VMs. VMs where the fewest accelerators have to
 * be reclaimed are used first; among those, the ones with the fewest accelerators left
 * over.
 */
final class GangFit {

	private GangFit() {
	}

	/**
	 * Returns an allocation for each member, or nothing if not all of them fit.
	 * @param vms the indexes of the VMs that may be used
	 */
	static Option<List<Allocation>> fit(Fleet fleet, int[] vms, Shape shape, CapacitySource source) {
		List<VmFit> fits = new ArrayList<>();
		int capacity = 0;
		for (int index : vms) {
			VmFit fit = VmFit.of(fleet.vm(index), index, shape, source);
			if (fit.members() > 0) {
				fits.add(fit);
				capacity += fit.members();
			}
		}
		if (capacity < shape.members()) {
			return Option.none();
		}
		fits.sort(Comparator.comparingInt(VmFit::cost).thenComparingInt(VmFit::leftOver));
		return pack(fits, shape);
	}

	private static Option<List<Allocation>> pack(List<VmFit> fits, Shape shape) {
		List<Allocation> allocations = new ArrayList<>();
		for (VmFit fit : fits) {
			for (int member = 0; member < fit.members() && allocations.size() < shape.members(); member++) {
				allocations.add(new Allocation(fit.vm(), fit.starts()[member], shape.accelerators(), shape.cores(),
						shape.memoryGb()));
			}
		}
		return Option.when(allocations.size() == shape.members(), allocations);
	}

	/**
	 * The members that fit on one VM.
	 *
	 * @param vm the index of the VM
	 * @param starts the first accelerator of each member
	 * @param members the number of members that fit
	 * @param cost the number of accelerators in use that have to be reclaimed if all of
	 * these members are placed
	 * @param leftOver the number of allowed accelerators that remain; the number of
	 * available cores for a shape without accelerators
	 */
	private record VmFit(int vm, int[] starts, int members, int cost, int leftOver) {

		static VmFit of(VmOccupancy occupancy, int index, Shape shape, CapacitySource source) {
			if (!occupancy.usable() || occupancy.vm().accelerators() < shape.accelerators()) {
				return new VmFit(index, new int[0], 0, 0, 0);
			}
			int maxMembers = Math.min(shape.members(),
					Math.min(countThatFit(source.available(occupancy, Resource.CORES), shape.cores()),
							countThatFit(source.available(occupancy, Resource.MEMORY), shape.memoryGb())));
			if (shape.accelerators() == 0) {
				return new VmFit(index, new int[maxMembers], maxMembers, 0,
						source.available(occupancy, Resource.CORES));
			}
			return fitRuns(occupancy, index, shape, source, maxMembers);
		}

		private static VmFit fitRuns(VmOccupancy occupancy, int index, Shape shape, CapacitySource source,
				int maxMembers) {
			long allowed = source.allowed(occupancy);
			long occupied = source.occupied(occupancy) & allowed;
			if (maxMembers <= 0 || Long.bitCount(allowed) < shape.accelerators()) {
				return new VmFit(index, new int[0], 0, 0, 0);
			}
			int[] starts = new int[maxMembers];
			int members = 0;
			int cost = 0;
			while (members < maxMembers) {
				int start = nextStart(allowed, occupied, shape.accelerators());
				if (start == Masks.NONE) {
					break;
				}
				long run = Masks.run(start, shape.accelerators());
				starts[members++] = start;
				cost += Long.bitCount(occupied & run);
				allowed &= ~run;
			}
			return new VmFit(index, Arrays.copyOf(starts, members), members, cost, Long.bitCount(allowed));
		}

		private static int nextStart(long allowed, long occupied, int accelerators) {
			int free = Masks.shortestRun(allowed & ~occupied, accelerators);
			return (free != Masks.NONE || occupied == 0) ? free : Masks.cheapestRun(allowed, occupied, accelerators);
		}

		private static int countThatFit(int available, int perMember) {
			return (perMember == 0) ? Integer.MAX_VALUE : Math.max(0, available) / perMember;
		}

	}

}
