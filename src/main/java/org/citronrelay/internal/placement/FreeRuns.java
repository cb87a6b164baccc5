package org.citronrelay.internal.placement;

import org.citronrelay.Shape;

/**
 * Counts idle accelerators and the gang members that fit on them.
 */
final class FreeRuns {

	private FreeRuns() {
	}

	/**
	 * Returns the number of idle accelerators on the given VMs; a VM that is not usable
	 * counts 0.
	 */
	static int idleAccelerators(Fleet fleet, int[] vms) {
		int idle = 0;
		for (int vm : vms) {
			idle += idleAccelerators(fleet.vm(vm));
		}
		return idle;
	}

	static int idleAccelerators(VmOccupancy vm) {
		return vm.usable() ? Long.bitCount(vm.allAccelerators() & ~vm.heldAccelerators()) : 0;
	}

	/**
	 * Returns how many members of a shape fit on the idle accelerators of a VM; 0 if the
	 * VM is not usable.
	 * @param taken a mask of further accelerators that count as held
	 */
	static int countMembers(VmOccupancy vm, Shape shape, long taken) {
		return vm.usable() ? Masks.countRuns(vm.allAccelerators() & ~vm.heldAccelerators() & ~taken,
				Math.max(1, shape.accelerators())) : 0;
	}

}
