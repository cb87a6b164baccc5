package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.citronrelay.internal.batch.Resources;

/**
 * Chooses VMs for the tasks of a step by best fit: it fills the fullest VMs first, so
 * that whole VMs and whole racks stay free for gangs with large members. A guarded task
 * gets the VM with the fewest runs, as these are lost if it crashes the VM.
 */
final class TaskPlacer {

	/** The largest sum of the free shares of a VM, one for each kind of resource. */
	private static final int RESOURCE_KINDS = 3;

	/** Larger than the rank of any VM that a task does not avoid. */
	private static final double AVOIDED_RANK = 1e9;

	private final List<VmCapacity> vmCapacities;

	private final Map<String, List<VmCapacity>> racks = new LinkedHashMap<>();

	private final Map<String, Double> usages = new HashMap<>();

	TaskPlacer(Collection<VmCapacity> vmCapacities) {
		this.vmCapacities = List.copyOf(vmCapacities);
		for (VmCapacity vmCapacity : this.vmCapacities) {
			this.racks.computeIfAbsent(vmCapacity.rack(), (key) -> new ArrayList<>()).add(vmCapacity);
		}
	}

	/**
	 * Returns a VM for each of the tasks, in their order. Where capacity is short, it
	 * leaves tasks out, of a gang all. A gang that needs a single rack gets the rack with
	 * the least capacity left of those that can hold it.
	 * @param available the capacity of a VM that may be used
	 */
	Map<TaskState, VmCapacity> place(StepState step, List<TaskState> tasks, Function<VmCapacity, Resources> available) {
		if (!step.spec.gang()) {
			return choose(step, tasks, preferredVms(step), available);
		}
		if (!requiresSingleRack(step)) {
			return placeAnywhere(step, tasks, available);
		}
		Map<TaskState, VmCapacity> best = Map.of();
		double least = Double.MAX_VALUE;
		for (List<VmCapacity> rack : this.racks.values()) {
			Map<TaskState, VmCapacity> chosen = allOrNone(choose(step, tasks, rack, available), tasks.size());
			double left = totalFreeShares(rack, available);
			if (!chosen.isEmpty() && left < least) {
				least = left;
				best = chosen;
			}
		}
		return best;
	}

	/**
	 * As {@link #place}, but also on VMs where the tasks run slower: spread over several
	 * racks, or outside the rack with their data.
	 */
	Map<TaskState, VmCapacity> placeAnywhere(StepState step, List<TaskState> tasks,
			Function<VmCapacity, Resources> available) {
		Map<TaskState, VmCapacity> chosen = choose(step, tasks, this.vmCapacities, available);
		return step.spec.gang() ? allOrNone(chosen, tasks.size()) : chosen;
	}

	/**
	 * Returns the groups of VMs of which one has to hold the whole step.
	 */
	Collection<List<VmCapacity>> candidateGroups(StepState step) {
		return requiresSingleRack(step) ? this.racks.values() : List.of(preferredVms(step));
	}

	/**
	 * Returns all VMs as one group, for a step that may run on slower VMs.
	 */
	Collection<List<VmCapacity>> allVms() {
		return List.of(this.vmCapacities);
	}

	/**
	 * Returns the share of a pool's capacity that is in use, of its scarcest resource.
	 * Reserved capacity counts as free. What long-running tasks take is left out, as it
	 * does not become free for other work.
	 */
	double usage(String pool) {
		return this.usages.computeIfAbsent(pool, this::computeUsage);
	}

	/**
	 * Discards the computed usage of the pools, after tasks were placed.
	 */
	void discardUsage() {
		this.usages.clear();
	}

	private double computeUsage(String pool) {
		Resources capacity = Resources.NONE;
		Resources free = Resources.NONE;
		for (VmCapacity vmCapacity : this.vmCapacities) {
			if (vmCapacity.vm.registration.pool().equals(pool)) {
				capacity = capacity.plus(vmCapacity.obtainable());
				free = free.plus(vmCapacity.free).plus(vmCapacity.reserved);
			}
		}
		return capacity.minus(free).dominantShare(capacity);
	}

	/**
	 * Lets waiting tasks return to the VMs that they avoid if no other VM will have room
	 * for them. The members of a gang need VMs at the same time, so they return together.
	 */
	void allowReturnIfNoOtherVm(StepState step, List<TaskState> waiting) {
		if (!step.spec.gang()) {
			waiting.forEach((task) -> allowReturnIfNoOtherVm(step, task));
		}
		else if (waiting.stream().anyMatch((task) -> !task.avoidedVms.isEmpty())
				&& place(step, waiting, VmCapacity::obtainable).isEmpty()) {
			waiting.forEach((task) -> task.avoidedVms.clear());
		}
	}

	private void allowReturnIfNoOtherVm(StepState step, TaskState task) {
		if (!task.avoidedVms.isEmpty() && this.vmCapacities.stream()
			.noneMatch((vmCapacity) -> step.spec.taskResources().fits(vmCapacity.obtainable())
					&& allowed(step, task, vmCapacity, lastingTasks(step, vmCapacity)))) {
			task.avoidedVms.clear();
		}
	}

	/**
	 * Returns how many tasks of a step stay on a VM.
	 */
	private static int lastingTasks(StepState step, VmCapacity vmCapacity) {
		return step.spec.shape().longRunning() ? placedTasks(step, vmCapacity) : 0;
	}

	/**
	 * Whether a step is a gang that has to share a rack: it requires that, and some rack
	 * is large enough.
	 */
	private boolean requiresSingleRack(StepState step) {
		return step.spec.gang() && step.spec.shape().sameRack() && fitsInSomeRack(step);
	}

	static boolean allowed(StepState step, TaskState task, VmCapacity vmCapacity, int placedTasks) {
		return vmCapacity.admits(task) && eligible(step, vmCapacity, placedTasks);
	}

	/**
	 * Whether the limits of a step let one more of its tasks run on a VM.
	 */
	static boolean eligible(StepState step, VmCapacity vmCapacity, int placedTasks) {
		int limit = step.spec.limits().maxPerVm();
		String label = step.spec.limits().label();
		return vmCapacity.vm.registration.pool().equals(step.job.pool) && (limit == 0 || placedTasks < limit)
				&& (label.isEmpty() || vmCapacity.vm.registration.labels().contains(label));
	}

	static int placedTasks(StepState step, VmCapacity vmCapacity) {
		return (int) vmCapacity.vm.tasks.stream().filter((task) -> task.step == step).count();
	}

	/**
	 * Chooses a VM for each task that fits, first for isolated ones, since a VM is kept
	 * free for them. The tasks of a step have the same needs, so if one fits nowhere,
	 * none does, unless it waits for another VM or is guarded.
	 */
	private Map<TaskState, VmCapacity> choose(StepState step, List<TaskState> tasks, List<VmCapacity> candidates,
			Function<VmCapacity, Resources> available) {
		Map<VmCapacity, Resources> left = new HashMap<>();
		Map<VmCapacity, Integer> placedOn = new HashMap<>();
		Map<TaskState, VmCapacity> chosen = new LinkedHashMap<>();
		Resources needs = step.spec.taskResources();
		for (TaskState task : isolatedFirst(tasks)) {
			VmCapacity best = null;
			double leastRank = Double.MAX_VALUE;
			for (VmCapacity vmCapacity : candidates) {
				Resources free = left.getOrDefault(vmCapacity, available.apply(vmCapacity));
				if (!needs.fits(free) || !allowed(step, task, vmCapacity,
						placedOn.computeIfAbsent(vmCapacity, (key) -> placedTasks(step, key)))) {
					continue;
				}
				double rank = rank(task, vmCapacity, free.minus(needs));
				if (rank < leastRank) {
					leastRank = rank;
					best = vmCapacity;
				}
			}
			if (best == null && task.avoidedVms.isEmpty() && !task.guarded()) {
				break;
			}
			if (best == null) {
				continue;
			}
			left.put(best, left.getOrDefault(best, available.apply(best)).minus(needs));
			placedOn.merge(best, 1, Integer::sum);
			chosen.put(task, best);
		}
		return chosen;
	}

	private static List<TaskState> isolatedFirst(List<TaskState> tasks) {
		if (tasks.stream().noneMatch(TaskState::isolated)) {
			return tasks;
		}
		return tasks.stream().sorted(Comparator.comparing((TaskState task) -> !task.isolated())).toList();
	}

	/**
	 * Returns the rank of a VM for a task; the lowest is chosen. Best fit comes first,
	 * for a guarded task the fewest runs, and VMs on which the task failed come last.
	 */
	private static double rank(TaskState task, VmCapacity vmCapacity, Resources freeAfter) {
		double rank = freeShares(freeAfter, vmCapacity.vm.registration.capacity());
		if (task.guarded()) {
			rank += RESOURCE_KINDS * vmCapacity.vm.tasks.size();
		}
		return task.avoidedVms.containsKey(vmCapacity.vm.id()) ? rank + AVOIDED_RANK : rank;
	}

	private static double freeShares(Resources free, Resources capacity) {
		return share(free.accelerators(), capacity.accelerators()) + share(free.cpuMillis(), capacity.cpuMillis())
				+ share(free.memoryMb(), capacity.memoryMb());
	}

	private static double share(long part, long total) {
		return (total > 0) ? (double) part / total : 0;
	}

	private static Map<TaskState, VmCapacity> allOrNone(Map<TaskState, VmCapacity> chosen, int wanted) {
		return (chosen.size() == wanted) ? chosen : Map.of();
	}

	private static double totalFreeShares(List<VmCapacity> rack, Function<VmCapacity, Resources> available) {
		return rack.stream()
			.mapToDouble((vmCapacity) -> freeShares(available.apply(vmCapacity), vmCapacity.vm.registration.capacity()))
			.sum();
	}

	/**
	 * Returns the VMs of the rack with the step's data, or all VMs if the step names no
	 * rack or the rack has no VMs.
	 */
	private List<VmCapacity> preferredVms(StepState step) {
		String dataRack = step.spec.limits().dataRack();
		if (dataRack.isEmpty()) {
			return this.vmCapacities;
		}
		List<VmCapacity> inDataRack = this.vmCapacities.stream()
			.filter((vmCapacity) -> vmCapacity.rack().equals(dataRack))
			.toList();
		return inDataRack.isEmpty() ? this.vmCapacities : inDataRack;
	}

	/**
	 * Whether some rack could hold the whole step if its VMs were empty and had all of
	 * their capacity.
	 */
	private boolean fitsInSomeRack(StepState step) {
		return this.racks.values().stream().anyMatch((rack) -> rack.stream().mapToLong((vmCapacity) -> {
			long fits = maxCopies(step.spec.taskResources(), vmCapacity.vm.fullCapacity);
			int limit = step.spec.limits().maxPerVm();
			return (limit > 0) ? Math.min(fits, limit) : fits;
		}).sum() >= step.spec.count());
	}

	private static long maxCopies(Resources needs, Resources capacity) {
		long copies = Long.MAX_VALUE;
		copies = (needs.cpuMillis() > 0) ? Math.min(copies, capacity.cpuMillis() / needs.cpuMillis()) : copies;
		copies = (needs.memoryMb() > 0) ? Math.min(copies, capacity.memoryMb() / needs.memoryMb()) : copies;
		copies = (needs.accelerators() > 0) ? Math.min(copies, capacity.accelerators() / needs.accelerators()) : copies;
		return Math.min(copies, Integer.MAX_VALUE);
	}

}
