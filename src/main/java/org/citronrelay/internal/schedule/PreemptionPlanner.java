package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
final class PreemptionPlanner {

	private final long now;

	private final Predicate<JobState> preemptible;

	private final Map<StepState, Double> gangCosts = new HashMap<>();

	/**
	 * A picker.
	 * @param now the present time in ticks
	 * @param mayStop which jobs have to yield
	 */
	PreemptionPlanner(long now, Predicate<JobState> mayStop) {
		this.now = now;
		this.preemptible = mayStop;
	}

	/**
	 * What to stop and where the tasks go then, nothing where even that is not enough.
	 * @param groups the groups of VMs of which one has to hold all tasks
	 */
	Plan plan(StepState step, List<TaskState> tasks, Collection<List<VmCapacity>> groups) {
		Plan best = Plan.NONE;
		for (List<VmCapacity> group : groups) {
			Plan plan = plan(step, tasks, group);
			if (plan.targets().size() == tasks.size() && (best.targets().isEmpty() || plan.cost() < best.cost())) {
				best = plan;
			}
		}
		return best;
	}

	private Plan plan(StepState step, List<TaskState> tasks, List<VmCapacity> group) {
		Map<String, Candidate> candidates = new LinkedHashMap<>();
		for (VmCapacity room : group) {
			candidates.put(room.vm.id(), new Candidate(room, TaskPlacer.placed(step, room)));
		}
		Set<TaskState> victims = new LinkedHashSet<>();
		List<VmCapacity> rooms = new ArrayList<>();
		double total = 0;
		for (TaskState task : tasks) {
			Candidate chosen = null;
			for (Candidate candidate : candidates.values()) {
				candidate.refresh(step.spec.each(), victims);
				if (candidate.cost < ((chosen != null) ? chosen.cost : Double.MAX_VALUE)
						&& TaskPlacer.allowed(step, task, candidate.vmCapacity, candidate.placed)) {
					chosen = candidate;
				}
			}
			if (chosen == null) {
				return Plan.NONE;
			}
			total += chosen.cost;
			chosen.evictions.forEach((victim) -> evict(victim, victims, candidates));
			chosen.allocate(step.spec.each());
			rooms.add(chosen.vmCapacity);
		}
		return new Plan(rooms, victims, total);
	}

	/**
	 * The runs of one VM to stop so that one more task fits; null where it never fits.
	 */
	private List<TaskState> evictions(VmCapacity room, Resources needs, Resources free, Set<TaskState> victims) {
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
				return dropUnneeded(chosen, needs, space);
			}
		}
		return null;
	}

	private List<TaskState> dropUnneeded(List<TaskState> chosen, Resources needs, Resources space) {
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
		return (task.phase == TaskPhase.PLACED || task.phase == TaskPhase.RUNNING)
				&& this.preemptible.test(task.step.job) && !task.step.spec.shape().lasting();
	}

	private double cost(List<TaskState> chosen, Set<TaskState> victims) {
		return chosen.stream().filter((task) -> !victims.contains(task)).mapToDouble(this::gangCost).sum();
	}

	private double gangCost(TaskState task) {
		if (!task.step.spec.gang()) {
			return task.unsavedWork(this.now);
		}
		return this.gangCosts.computeIfAbsent(task.step,
				(step) -> step.tasks.stream().mapToDouble((member) -> member.unsavedWork(this.now)).sum());
	}

	private static void evict(TaskState task, Set<TaskState> victims, Map<String, Candidate> candidates) {
		List<TaskState> together = task.step.spec.gang() ? task.step.tasks : List.of(task);
		for (TaskState member : together) {
			if (member.phase.occupiesCapacity() && member.phase != TaskPhase.STOPPING && victims.add(member)
					&& candidates.containsKey(member.vm)) {
				candidates.get(member.vm).addFreed(member.needs());
			}
		}
	}

	/**
	 * A VM of a group, with what would have to be stopped so that one more task fits.
	 */
	private final class Candidate {

		private final VmCapacity vmCapacity;

		private Resources available;

		private int placed;

		private boolean stale = true;

		private List<TaskState> evictions = List.of();

		private double cost;

		Candidate(VmCapacity room, int placed) {
			this.vmCapacity = room;
			this.available = room.freeSoon;
			this.placed = placed;
		}

		void refresh(Resources needs, Set<TaskState> victims) {
			if (this.stale) {
				this.stale = false;
				this.evictions = evictions(this.vmCapacity, needs, this.available, victims);
				this.cost = (this.evictions != null) ? cost(this.evictions, victims) : Double.MAX_VALUE;
			}
		}

		void addFreed(Resources needs) {
			this.available = this.available.plus(needs);
			this.stale = true;
		}

		void allocate(Resources needs) {
			this.available = this.available.minus(needs);
			this.placed++;
			this.stale = true;
		}

	}

	/**
	 * What to stop and where the tasks go then.
	 *
	 * @param targets the VM of each task
	 * @param victims the runs to stop
	 * @param cost the work that is lost, in core-seconds
	 */
	record Plan(List<VmCapacity> targets, Set<TaskState> victims, double cost) {

		static final Plan NONE = new Plan(List.of(), Set.of(), 0);

	}

}
