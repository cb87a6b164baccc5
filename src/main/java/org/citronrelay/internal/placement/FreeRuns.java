package org.citronrelay.internal.placement;

import org.citronrelay.Shape;

/**
 * Counts of free accelerators.
 */
final class FreeRuns {

	private FreeRuns() {
	}

	/**
	 * The idle accelerators of some VMs.
	 */
	static int idle(Fleet fleet, int[] vms) {
		int idle = 0;
		for (int vm : vms) {
			idle += idle(fleet.vm(vm));
		}
		return idle;
	}

	static int idle(VmState vm) {
		return vm.usable() ? Long.bitCount(vm.all() & ~vm.held()) : 0;
	}

	/**
	 * How many members of a shape find idle accelerators on a VM.
	 * @param taken accelerators to count as held beside those that are
	 */
	static int count(VmState vm, Shape shape, long taken) {
		return vm.usable() ? Masks.countRuns(vm.all() & ~vm.held() & ~taken, Math.max(1, shape.accelerators())) : 0;
	}

}
