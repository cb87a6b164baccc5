package org.citronrelay.internal.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The capacity that steps have claimed in earlier placement rounds: VMs are being emptied
 * for them. Without the claim, a step that is placed first would take a part of that
 * capacity in each round, and the step would preempt further runs each time.
 */
final class CapacityClaims {

	private final Map<String, VmCapacity> vmCapacities = new HashMap<>();

	private final Map<StepState, List<VmCapacity>> held = new HashMap<>();

	CapacityClaims(Collection<VmCapacity> vmCapacities) {
		vmCapacities.forEach((vmCapacity) -> this.vmCapacities.put(vmCapacity.vm.id(), vmCapacity));
	}

	/**
	 * Keeps the claimed capacity of a step from all other steps, until it is released.
	 */
	void hold(StepState step) {
		List<VmCapacity> claimed = step.claimedVms.stream()
			.filter(this.vmCapacities::containsKey)
			.map(this.vmCapacities::get)
			.toList();
		claimed.forEach((vmCapacity) -> vmCapacity.allocate(step.spec.taskResources()));
		this.held.put(step, claimed);
	}

	/**
	 * Makes the claimed capacity of a step available, for the step itself to be placed.
	 */
	void release(StepState step) {
		List<VmCapacity> claimed = this.held.remove(step);
		if (claimed != null) {
			claimed.forEach((vmCapacity) -> vmCapacity.deallocate(step.spec.taskResources()));
		}
	}

}
