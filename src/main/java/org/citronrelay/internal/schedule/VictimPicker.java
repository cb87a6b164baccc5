package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.citronrelay.internal.batch.Resources;

/**
 * Chooses the runs to stop so that an urgent step fits: those with the least work that is
 * not saved. A gang counts and is stopped as a whole.
 */
final class VictimPicker {

	private final long now;

	private final Predicate<JobState> mayStop;

	/**
	 * A picker.
	 * @param now the present time in ticks
	 * @param mayStop which jobs have to yield
	 */
	VictimPicker(long now, Predicate<JobState> mayStop) {
		this.now = now;
		this.mayStop = mayStop;
	}

	/**
	 * What to stop and where the tasks go then, nothing where even that is not enough.
	 * @param groups the groups of VMs of which one has to hold all tasks
	 */
	Plan plan(StepState step, List<TaskState> tasks, Collection<List<Room>> groups) {
		Plan best = Plan.NONE;
		for (List<Room> group : groups) {
			Plan plan = plan(step, tasks, group);
			if (plan.rooms().size() == tasks.size() && (best.rooms().isEmpty() || plan.cost() < best.cost())) {
				best = plan;
			}
		}
		return best;
	}

	private Plan plan(StepState step, List<TaskState> tasks, List<Room> group) {
		Map<VmState, Resources> space = new HashMap<>();
		Map<Room, Integer> taken = new HashMap<>();
		group.forEach((room) -> space.put(room.vm, room.soon));
		Set<TaskState> victims = new LinkedHashSet<>();
		List<Room> rooms = new ArrayList<>();
		double total = 0;
		for (TaskState task : tasks) {
			Room chosen = null;
			List<TaskState> cheapest = List.of();
			double least = Double.MAX_VALUE;
			for (Room room : group) {
				if (!Placer.allowed(step, task, room, taken.computeIfAbsent(room, (key) -> Placer.placed(step, key)))) {
					continue;
				}
				List<TaskState> needed = evictions(room, step.spec.each(), space.get(room.vm), victims);
				double cost = (needed != null) ? cost(needed, victims) : Double.MAX_VALUE;
				if (cost < least) {
					least = cost;
					chosen = room;
					cheapest = needed;
				}
			}
			if (chosen == null) {
				return Plan.NONE;
			}
			total += least;
			cheapest.forEach((victim) -> evict(victim, victims, space));
			space.computeIfPresent(chosen.vm, (key, free) -> free.minus(step.spec.each()));
			taken.merge(chosen, 1, Integer::sum);
			rooms.add(chosen);
		}
		return new Plan(rooms, victims, total);
	}

	/**
	 * The runs of one VM to stop so that one more task fits; null where it never fits.
	 */
	private List<TaskState> evictions(Room room, Resources needs, Resources free, Set<TaskState> victims) {
		List<TaskState> chosen = new ArrayList<>();
		Resources space = free;
		if (needs.fits(space)) {
			return chosen;
		}
		List<TaskState> candidates = new ArrayList<>(room.vm.tasks.stream()
			.filter((task) -> stoppable(task) && !victims.contains(task))
			.sorted(Comparator.comparingDouble(this::gangCost))
			.toList());
		for (TaskState candidate : candidates) {
			chosen.add(candidate);
			space = space.plus(candidate.needs());
			if (needs.fits(space)) {
				return withoutNeedless(chosen, needs, space);
			}
		}
		return null;
	}

	private List<TaskState> withoutNeedless(List<TaskState> chosen, Resources needs, Resources space) {
		Resources left = space;
		for (TaskState candidate : List.copyOf(chosen).reversed()) {
			if (needs.fits(left.minus(candidate.needs()))) {
				left = left.minus(candidate.needs());
				chosen.remove(candidate);
			}
		}
		return chosen;
	}

	private boolean stoppable(TaskState task) {
		return (task.phase == TaskPhase.PLACED || task.phase == TaskPhase.RUNNING) && this.mayStop.test(task.step.job)
				&& !task.step.spec.shape().lasting();
	}

	private double cost(List<TaskState> chosen, Set<TaskState> victims) {
		return chosen.stream().filter((task) -> !victims.contains(task)).mapToDouble(this::gangCost).sum();
	}

	private double gangCost(TaskState task) {
		if (!task.step.spec.gang()) {
			return task.unsavedWork(this.now);
		}
		return task.step.tasks.stream().mapToDouble((member) -> member.unsavedWork(this.now)).sum();
	}

	private static void evict(TaskState task, Set<TaskState> victims, Map<VmState, Resources> space) {
		List<TaskState> together = task.step.spec.gang() ? task.step.tasks : List.of(task);
		for (TaskState member : together) {
			if (member.phase.takesRoom() && member.phase != TaskPhase.STOPPING && victims.add(member)) {
				space.entrySet()
					.stream()
					.filter((entry) -> entry.getKey().tasks.contains(member))
					.forEach((entry) -> entry.setValue(entry.getValue().plus(member.needs())));
			}
		}
	}

	/**
	 * What to stop and where the tasks go then.
	 *
	 * @param rooms the VM of each task
	 * @param victims the runs to stop
	 * @param cost the work that is lost, in core-seconds
	 */
	record Plan(List<Room> rooms, Set<TaskState> victims, double cost) {

		static final Plan NONE = new Plan(List.of(), Set.of(), 0);

	}

}
