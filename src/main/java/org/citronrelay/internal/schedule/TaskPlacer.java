package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.citronrelay.internal.batch.Resources;

/**
 * Chooses VMs for the tasks of a step. It fills the VMs that are fullest first, so that
 * whole VMs and whole racks stay free for gangs with large members.
 */
final class TaskPlacer {

	private final List<VmCapacity> vmCapacities;

	private final Map<String, List<VmCapacity>> racks = new LinkedHashMap<>();

	private final Map<String, Double> usages = new HashMap<>();

	TaskPlacer(Collection<VmCapacity> rooms) {
		this.vmCapacities = List.copyOf(rooms);
		for (VmCapacity room : this.vmCapacities) {
			this.racks.computeIfAbsent(room.rack(), (key) -> new ArrayList<>()).add(room);
		}
	}

	/**
	 * A VM for each of the tasks; fewer where there is no room for all, none for a gang
	 * without room for all.
	 * @param space which room of a VM counts
	 */
	List<VmCapacity> place(StepState step, List<TaskState> tasks, Function<VmCapacity, Resources> space) {
		if (!step.spec.gang()) {
			return choose(step, tasks, preferredVms(step), space);
		}
		if (!requiresSingleRack(step)) {
			return placeAnywhere(step, tasks, space);
		}
		List<VmCapacity> best = List.of();
		double least = Double.MAX_VALUE;
		for (List<VmCapacity> rack : this.racks.values()) {
			List<VmCapacity> chosen = allOrNone(choose(step, tasks, rack, space), tasks.size());
			double left = totalFreeShares(rack, space);
			if (!chosen.isEmpty() && left < least) {
				least = left;
				best = chosen;
			}
		}
		return best;
	}

	/**
	 * As {@link #place}, but on VMs where the tasks run slower, too: in other racks than
	 * one, or far from their data.
	 */
	List<VmCapacity> placeAnywhere(StepState step, List<TaskState> tasks, Function<VmCapacity, Resources> space) {
		List<VmCapacity> chosen = choose(step, tasks, this.vmCapacities, space);
		return step.spec.gang() ? allOrNone(chosen, tasks.size()) : chosen;
	}

	/**
	 * The groups of VMs of which one has to hold the whole step.
	 */
	Collection<List<VmCapacity>> candidateGroups(StepState step) {
		return requiresSingleRack(step) ? this.racks.values() : List.of(preferredVms(step));
	}

	/**
	 * All VMs as one group, for a step that may run slower.
	 */
	Collection<List<VmCapacity>> allVms() {
		return List.of(this.vmCapacities);
	}

	/**
	 * The share of a pool's capacity that is in use, of the resource that is scarcest.
	 */
	double usage(String pool) {
		return this.usages.computeIfAbsent(pool, this::computeUsage);
	}

	/**
	 * Takes in that VMs were given to tasks.
	 */
	void placed() {
		this.usages.clear();
	}

	private double computeUsage(String pool) {
		Resources capacity = Resources.NONE;
		Resources free = Resources.NONE;
		for (VmCapacity room : this.vmCapacities) {
			if (room.vm.report.pool().equals(pool)) {
				capacity = capacity.plus(room.vm.report.capacity());
				free = free.plus(room.free).plus(room.reserved);
			}
		}
		return capacity.minus(free).dominantShare(capacity);
	}

	/**
	 * Lets a task return to VMs on which it failed once it has failed on all of them.
	 */
	void clearAvoidedIfNoneAllowed(StepState step, TaskState task) {
		if (!task.avoidedVms.isEmpty()
				&& this.vmCapacities.stream().noneMatch((room) -> allowed(step, task, room, 0))) {
			task.avoidedVms.clear();
		}
	}

	private boolean requiresSingleRack(StepState step) {
		return step.spec.gang() && step.spec.shape().sameRack() && fitsInSomeRack(step);
	}

	static boolean allowed(StepState step, TaskState task, VmCapacity room, int already) {
		int most = step.spec.limits().mostPerVm();
		String label = step.spec.limits().label();
		return room.vm.report.pool().equals(step.job.pool) && !task.avoidedVms.contains(room.vm.id())
				&& (most == 0 || already < most) && (label.isEmpty() || room.vm.report.labels().contains(label));
	}

	static int placed(StepState step, VmCapacity room) {
		return (int) room.vm.tasks.stream().filter((task) -> task.step == step).count();
	}

	private List<VmCapacity> choose(StepState step, List<TaskState> tasks, List<VmCapacity> among,
			Function<VmCapacity, Resources> space) {
		Map<VmCapacity, Resources> left = new HashMap<>();
		Map<VmCapacity, Integer> taken = new HashMap<>();
		List<VmCapacity> chosen = new ArrayList<>();
		Resources needs = step.spec.each();
		for (TaskState task : tasks) {
			VmCapacity best = null;
			double tightest = Double.MAX_VALUE;
			for (VmCapacity room : among) {
				Resources free = left.getOrDefault(room, space.apply(room));
				if (!needs.fits(free)
						|| !allowed(step, task, room, taken.computeIfAbsent(room, (key) -> placed(step, key)))) {
					continue;
				}
				double rest = freeShares(free.minus(needs), room.vm.report.capacity());
				if (rest < tightest) {
					tightest = rest;
					best = room;
				}
			}
			if (best == null) {
				break;
			}
			left.put(best, left.getOrDefault(best, space.apply(best)).minus(needs));
			taken.merge(best, 1, Integer::sum);
			chosen.add(best);
		}
		return chosen;
	}

	private static double freeShares(Resources rest, Resources capacity) {
		return share(rest.accelerators(), capacity.accelerators()) + share(rest.cpuMillis(), capacity.cpuMillis())
				+ share(rest.memoryMb(), capacity.memoryMb());
	}

	private static double share(long part, long whole) {
		return (whole > 0) ? (double) part / whole : 0;
	}

	private static List<VmCapacity> allOrNone(List<VmCapacity> chosen, int wanted) {
		return (chosen.size() == wanted) ? chosen : List.of();
	}

	private static double totalFreeShares(List<VmCapacity> rack, Function<VmCapacity, Resources> space) {
		return rack.stream().mapToDouble((room) -> freeShares(space.apply(room), room.vm.report.capacity())).sum();
	}

	/**
	 * The VMs of the rack with the step's data, all VMs where there is none.
	 */
	private List<VmCapacity> preferredVms(StepState step) {
		String data = step.spec.limits().dataRack();
		if (data.isEmpty()) {
			return this.vmCapacities;
		}
		List<VmCapacity> near = this.vmCapacities.stream().filter((room) -> room.rack().equals(data)).toList();
		return near.isEmpty() ? this.vmCapacities : near;
	}

	private boolean fitsInSomeRack(StepState step) {
		return this.racks.values().stream().anyMatch((rack) -> rack.stream().mapToLong((room) -> {
			long fits = maxCopies(step.spec.each(), room.vm.report.capacity());
			int most = step.spec.limits().mostPerVm();
			return (most > 0) ? Math.min(fits, most) : fits;
		}).sum() >= step.spec.count());
	}

	private static long maxCopies(Resources each, Resources capacity) {
		long copies = Long.MAX_VALUE;
		copies = (each.cpuMillis() > 0) ? Math.min(copies, capacity.cpuMillis() / each.cpuMillis()) : copies;
		copies = (each.memoryMb() > 0) ? Math.min(copies, capacity.memoryMb() / each.memoryMb()) : copies;
		copies = (each.accelerators() > 0) ? Math.min(copies, capacity.accelerators() / each.accelerators()) : copies;
		return Math.min(copies, Integer.MAX_VALUE);
	}

}
