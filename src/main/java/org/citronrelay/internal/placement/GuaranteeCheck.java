package org.citronrelay.internal.placement;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.internal.placement.Holding.HoldingKind;

/**
 * Checks that every guaranteed block can be made available to its team: each holding
 * within it belongs to the team or can be reclaimed, and no two blocks overlap.
 */
public final class GuaranteeCheck {

	private GuaranteeCheck() {
	}

	/**
	 * Returns a message for each violation; empty if there is none.
	 */
	public static List<String> violations(Fleet fleet) {
		List<String> violations = new ArrayList<>();
		for (int index = 0; index < fleet.size(); index++) {
			VmOccupancy vm = fleet.vm(index);
			checkOverlaps(vm, violations);
			checkHoldings(vm, violations);
		}
		return violations;
	}

	private static void checkOverlaps(VmOccupancy vm, List<String> violations) {
		long seen = 0;
		for (VmOccupancy.BlockPart part : vm.blockParts()) {
			if ((seen & part.allocation().mask()) != 0) {
				violations.add("block " + part.block() + " overlaps another block on " + vm.vm().id());
			}
			seen |= part.allocation().mask();
		}
	}

	private static void checkHoldings(VmOccupancy vm, List<String> violations) {
		for (VmOccupancy.BlockPart part : vm.blockParts()) {
			for (Holding holding : vm.holdings()) {
				boolean within = (holding.allocation().mask() & part.allocation().mask()) != 0;
				boolean otherTeam = !holding.team().equals(part.team());
				boolean canBeReclaimed = holding.reclaimable() && holding.kind() != HoldingKind.GUARANTEED;
				if (within && otherTeam && !canBeReclaimed) {
					violations.add("job " + holding.job() + " cannot be reclaimed from block " + part.block() + " on "
							+ vm.vm().id());
				}
			}
		}
	}

}
