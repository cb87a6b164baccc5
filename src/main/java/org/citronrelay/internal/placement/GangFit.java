package org.citronrelay.internal.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

import io.vavr.control.Option;
import org.citronrelay.Shape;
import org.citronrelay.internal.placement.VmState.Resource;

/**
 * Fits the members of a gang into a set of VMs: first where nobody has to yield, then
 * where the least is left over.
 */
final class GangFit {

	private GangFit() {
	}

	/**
	 * Room for all members, or nothing.
	 * @param vms the indexes of the VMs that may be used
	 */
	static Option<List<Allocation>> fit(Fleet fleet, int[] vms, Shape shape, Room room) {
		List<VmFit> fits = new ArrayList<>();
		int capacity = 0;
		for (int index : vms) {
			VmFit fit = VmFit.of(fleet.vm(index), index, shape, room);
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
	 * How many members fit on one VM, and where.
	 *
	 * @param vm the index of the VM
	 * @param starts the first accelerator of each member
	 * @param members how many members fit
	 * @param cost how many accelerators others must give back if all of them are placed
	 * @param leftOver how many allowed accelerators are left then
	 */
	private record VmFit(int vm, int[] starts, int members, int cost, int leftOver) {

		static VmFit of(VmState state, int index, Shape shape, Room room) {
			if (!state.usable() || state.vm().accelerators() < shape.accelerators()) {
				return new VmFit(index, new int[0], 0, 0, 0);
			}
			int most = Math.min(shape.members(), Math.min(fitting(room.amount(state, Resource.CORES), shape.cores()),
					fitting(room.amount(state, Resource.MEMORY), shape.memoryGb())));
			if (shape.accelerators() == 0) {
				return new VmFit(index, new int[most], most, 0, room.amount(state, Resource.CORES));
			}
			return runs(state, index, shape, room, most);
		}

		private static VmFit runs(VmState state, int index, Shape shape, Room room, int most) {
			long allowed = room.allowed(state);
			long costly = room.costly(state) & allowed;
			if (most <= 0 || Long.bitCount(allowed) < shape.accelerators()) {
				return new VmFit(index, new int[0], 0, 0, 0);
			}
			int[] starts = new int[most];
			int members = 0;
			int cost = 0;
			while (members < most) {
				int start = next(allowed, costly, shape.accelerators());
				if (start == Masks.NONE) {
					break;
				}
				long run = Masks.run(start, shape.accelerators());
				starts[members++] = start;
				cost += Long.bitCount(costly & run);
				allowed &= ~run;
			}
			return new VmFit(index, Arrays.copyOf(starts, members), members, cost, Long.bitCount(allowed));
		}

		private static int next(long allowed, long costly, int accelerators) {
			int free = Masks.bestRun(allowed & ~costly, accelerators);
			return (free != Masks.NONE || costly == 0) ? free : Masks.cheapestRun(allowed, costly, accelerators);
		}

		private static int fitting(int amount, int each) {
			return (each == 0) ? Integer.MAX_VALUE : Math.max(0, amount) / each;
		}

	}

}
