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
final class Placer {

	private final List<Room> rooms;

	private final Map<String, List<Room>> racks = new LinkedHashMap<>();

	private final Map<String, Double> usages = new HashMap<>();

	Placer(Collection<Room> rooms) {
		this.rooms = List.copyOf(rooms);
		for (Room room : this.rooms) {
			this.racks.computeIfAbsent(room.rack(), (key) -> new ArrayList<>()).add(room);
		}
	}

	/**
	 * A VM for each of the tasks; fewer where there is no room for all, none for a gang
	 * without room for all.
	 * @param space which room of a VM counts
	 */
	List<Room> place(StepState step, List<TaskState> tasks, Function<Room, Resources> space) {
		if (!step.spec.gang()) {
			return choose(step, tasks, preferred(step), space);
		}
		if (!tiedToARack(step)) {
			return placeAnywhere(step, tasks, space);
		}
		List<Room> best = List.of();
		double least = Double.MAX_VALUE;
		for (List<Room> rack : this.racks.values()) {
			List<Room> chosen = wholeOrNone(choose(step, tasks, rack, space), tasks.size());
			double left = leftOver(rack, space);
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
	List<Room> placeAnywhere(StepState step, List<TaskState> tasks, Function<Room, Resources> space) {
		List<Room> chosen = choose(step, tasks, this.rooms, space);
		return step.spec.gang() ? wholeOrNone(chosen, tasks.size()) : chosen;
	}

	/**
	 * The groups of VMs of which one has to hold the whole step.
	 */
	Collection<List<Room>> groups(StepState step) {
		return tiedToARack(step) ? this.racks.values() : List.of(preferred(step));
	}

	/**
	 * All VMs as one group, for a step that may run slower.
	 */
	Collection<List<Room>> anywhere() {
		return List.of(this.rooms);
	}

	/**
	 * The share of a pool's capacity that is in use, of the resource that is scarcest.
	 */
	double usage(String pool) {
		return this.usages.computeIfAbsent(pool, this::countUsage);
	}

	/**
	 * Takes in that VMs were given to tasks.
	 */
	void placed() {
		this.usages.clear();
	}

	private double countUsage(String pool) {
		Resources capacity = Resources.NONE;
		Resources free = Resources.NONE;
		for (Room room : this.rooms) {
			if (room.vm.report.pool().equals(pool)) {
				capacity = capacity.plus(room.vm.report.capacity());
				free = free.plus(room.free).plus(room.kept);
			}
		}
		return capacity.minus(free).dominantShare(capacity);
	}

	/**
	 * Lets a task return to VMs on which it failed once it has failed on all of them.
	 */
	void forgive(StepState step, TaskState task) {
		if (!task.avoided.isEmpty() && this.rooms.stream().noneMatch((room) -> allowed(step, task, room, 0))) {
			task.avoided.clear();
		}
	}

	private boolean tiedToARack(StepState step) {
		return step.spec.gang() && step.spec.shape().sameRack() && someRackCouldHold(step);
	}

	static boolean allowed(StepState step, TaskState task, Room room, int already) {
		int most = step.spec.limits().mostPerVm();
		String label = step.spec.limits().label();
		return room.vm.report.pool().equals(step.job.pool) && !task.avoided.contains(room.vm.id())
				&& (most == 0 || already < most) && (label.isEmpty() || room.vm.report.labels().contains(label));
	}

	static int placed(StepState step, Room room) {
		return (int) room.vm.tasks.stream().filter((task) -> task.step == step).count();
	}

	private List<Room> choose(StepState step, List<TaskState> tasks, List<Room> among,
			Function<Room, Resources> space) {
		Map<Room, Resources> left = new HashMap<>();
		Map<Room, Integer> taken = new HashMap<>();
		List<Room> chosen = new ArrayList<>();
		Resources needs = step.spec.each();
		for (TaskState task : tasks) {
			Room best = null;
			double tightest = Double.MAX_VALUE;
			for (Room room : among) {
				Resources free = left.getOrDefault(room, space.apply(room));
				if (!needs.fits(free)
						|| !allowed(step, task, room, taken.computeIfAbsent(room, (key) -> placed(step, key)))) {
					continue;
				}
				double rest = fullness(free.minus(needs), room.vm.report.capacity());
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

	private static double fullness(Resources rest, Resources capacity) {
		return share(rest.accelerators(), capacity.accelerators()) + share(rest.cpuMillis(), capacity.cpuMillis())
				+ share(rest.memoryMb(), capacity.memoryMb());
	}

	private static double share(long part, long whole) {
		return (whole > 0) ? (double) part / whole : 0;
	}

	private static List<Room> wholeOrNone(List<Room> chosen, int wanted) {
		return (chosen.size() == wanted) ? chosen : List.of();
	}

	private static double leftOver(List<Room> rack, Function<Room, Resources> space) {
		return rack.stream().mapToDouble((room) -> fullness(space.apply(room), room.vm.report.capacity())).sum();
	}

	/**
	 * The VMs of the rack with the step's data, all VMs where there is none.
	 */
	private List<Room> preferred(StepState step) {
		String data = step.spec.limits().dataRack();
		if (data.isEmpty()) {
			return this.rooms;
		}
		List<Room> near = this.rooms.stream().filter((room) -> room.rack().equals(data)).toList();
		return near.isEmpty() ? this.rooms : near;
	}

	private boolean someRackCouldHold(StepState step) {
		return this.racks.values().stream().anyMatch((rack) -> rack.stream().mapToLong((room) -> {
			long fits = copies(step.spec.each(), room.vm.report.capacity());
			int most = step.spec.limits().mostPerVm();
			return (most > 0) ? Math.min(fits, most) : fits;
		}).sum() >= step.spec.count());
	}

	private static long copies(Resources each, Resources capacity) {
		long copies = Long.MAX_VALUE;
		copies = (each.cpuMillis() > 0) ? Math.min(copies, capacity.cpuMillis() / each.cpuMillis()) : copies;
		copies = (each.memoryMb() > 0) ? Math.min(copies, capacity.memoryMb() / each.memoryMb()) : copies;
		copies = (each.accelerators() > 0) ? Math.min(copies, capacity.accelerators() / each.accelerators()) : copies;
		return Math.min(copies, Integer.MAX_VALUE);
	}

}
