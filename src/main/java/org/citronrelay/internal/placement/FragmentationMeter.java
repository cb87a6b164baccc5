package org.citronrelay.internal.placement;

import org.citronrelay.Shape;
import org.citronrelay.Spread;

/**
 * Measures the fragmentation of free accelerators.
 */
public final class FragmentationMeter {

	private FragmentationMeter() {
	}

	/**
	 * Returns the share of idle accelerators that the reference shape cannot use, from 0
	 * to 1; 0 when no accelerator is idle.
	 */
	public static double unusableShare(Fleet fleet, Shape reference) {
		int idle = FreeRuns.idleAccelerators(fleet, fleet.allIndexes());
		if (idle == 0) {
			return 0;
		}
		int usable = 0;
		for (int[] vms : GangPlacer.vmGroups(fleet, reference)) {
			int members = 0;
			for (int vm : vms) {
				members += FreeRuns.countMembers(fleet.vm(vm), reference, 0);
			}
			usable += members / reference.members() * reference.totalAccelerators();
		}
		return 1.0 - (double) usable / idle;
	}

	/**
	 * Returns the number of idle accelerators on usable VMs.
	 */
	public static int idleAccelerators(Fleet fleet) {
		return FreeRuns.idleAccelerators(fleet, fleet.allIndexes());
	}

	/**
	 * Returns the reference shape for failure domains without guarantees: one member with
	 * the 8 accelerators of a whole VM, within one rack.
	 */
	public static Shape defaultReference() {
		return new Shape(1, 8, 0, 0, Spread.RACK);
	}

}
