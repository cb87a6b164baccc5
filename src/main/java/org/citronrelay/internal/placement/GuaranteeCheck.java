package org.citronrelay.internal.placement;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.internal.placement.Holding.Tenure;

/**
 * Checks that every guaranteed block can be reclaimed: what lies in it belongs to its own
 * team or can be told to leave, and no two blocks overlap.
 */
public final class GuaranteeCheck {

	private GuaranteeCheck() {
	}

	/**
	 * What breaks the promise, empty when nothing does.
	 */
	public static List<String> violations(Fleet fleet) {
		List<String> violations = new ArrayList<>();
		for (int index = 0; index < fleet.size(); index++) {
			VmState vm = fleet.vm(index);
			overlaps(vm, violations);
			occupied(vm, violations);
		}
		return violations;
	}

	private static void overlaps(VmState vm, List<String> violations) {
		long seen = 0;
		for (VmState.BlockPart part : vm.parts()) {
			if ((seen & part.allocation().mask()) != 0) {
				violations.add("block " + part.block() + " overlaps another on " + vm.vm().id());
			}
			seen |= part.allocation().mask();
		}
	}

	private static void occupied(VmState vm, List<String> violations) {
		for (VmState.BlockPart part : vm.parts()) {
			for (Holding holding : vm.holdings()) {
				boolean within = (holding.allocation().mask() & part.allocation().mask()) != 0;
				boolean foreign = !holding.team().equals(part.team());
				boolean leaves = holding.reclaimable() && holding.tenure() != Tenure.GUARANTEED;
				if (within && foreign && !leaves) {
					violations.add("job " + holding.job() + " cannot be told to leave block " + part.block() + " on "
							+ vm.vm().id());
				}
			}
		}
	}

}
