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
 * Chooses the runs to stop so that an urgent step fits: those with the least unsaved
 * work. A gang is stopped as a whole, and its cost is that of all its members. Isolated
 * tasks are left alone: a stop would leave open whether they crash their VMs.
 */
final class PreemptionPlanner {

	private final long now;

	private final Predicate<JobState> preemptible;

	private final Map<StepState, Double> gangCosts = new HashMap<>();

	/**
	 * Creates a planner.
	 * @param now the current time in monotonic milliseconds
	 * @param preemptible whether the runs of a job may be stopped
	 */
	PreemptionPlanner(long now, Predicate<JobState> preemptible) {
		this.now = now;
		this.preemptible = preemptible;
	}

	/**
	 * Returns the plan with the lowest cost, {@link Plan#NONE} if the tasks do not fit
	 * even then.
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
		for (VmCapacity vmCapacity : group) {
			candidates.put(vmCapacity.vm.id(), new Candidate(vmCapacity, TaskPlacer.placedTasks(step, vmCapacity)));
		}
		Set<TaskState> victims = new LinkedHashSet<>();
		List<VmCapacity> targets = new ArrayList<>();
		double totalCost = 0;
		for (TaskState task : tasks) {
			Candidate chosen = null;
			for (Candidate candidate : candidates.values()) {
				candidate.refresh(step.spec.taskResources(), victims);
				if (candidate.cost < ((chosen != null) ? chosen.cost : Double.MAX_VALUE)
						&& TaskPlacer.allowed(step, task, candidate.vmCapacity, candidate.placed)) {
					chosen = candidate;
				}
			}
			if (chosen == null) {
				return Plan.NONE;
			}
			totalCost += chosen.cost;
			chosen.evictions.forEach((victim) -> evict(victim, victims, candidates));
			chosen.allocate(step.spec.taskResources());
			targets.add(chosen.vmCapacity);
		}
		return new Plan(targets, victims, totalCost);
	}

	/**
	 * Returns the runs to stop on one VM so that another task fits, null if it cannot
	 * fit.
	 */
	private List<TaskState> evictions(VmCapacity vmCapacity, Resources needs, Resources free, Set<TaskState> victims) {
		List<TaskState> chosen = new ArrayList<>();
		Resources available = free;
		if (needs.fits(available)) {
			return chosen;
		}
		List<TaskState> candidates = new ArrayList<>(vmCapacity.vm.tasks.stream()
			.filter((task) -> stoppable(task) && !victims.contains(task))
			.sorted(Comparator.comparingDouble(this::gangCost))
			.toList());
		for (TaskState candidate : candidates) {
			chosen.add(candidate);
			available = available.plus(candidate.needs());
			if (needs.fits(available)) {
				return dropUnneeded(chosen, needs, available);
			}
		}
		return null;
	}

	private List<TaskState> dropUnneeded(List<TaskState> chosen, Resources needs, Resources available) {
		Resources left = available;
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
				&& this.preemptible.test(task.step.job) && !task.step.spec.shape().longRunning() && !task.isolated();
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
		List<TaskState> members = task.step.spec.gang() ? task.step.tasks : List.of(task);
		for (TaskState member : members) {
			if (member.phase.occupiesCapacity() && member.phase != TaskPhase.STOPPING && victims.add(member)
					&& candidates.containsKey(member.vm)) {
				candidates.get(member.vm).addFreed(member.needs());
			}
		}
	}

	/**
	 * A VM of a group, with the runs to stop so that another task fits.
	 */
	private final class Candidate {

		private final VmCapacity vmCapacity;

		private Resources available;

		private int placed;

		private boolean stale = true;

		private List<TaskState> evictions = List.of();

		private double cost;

		Candidate(VmCapacity vmCapacity, int placed) {
			this.vmCapacity = vmCapacity;
			this.available = vmCapacity.freeSoon;
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
	 * The runs to stop for a step, and the VMs on which its tasks fit then.
	 *
	 * @param targets the VM of each task
	 * @param victims the runs to stop
	 * @param cost the work that is lost, in core-seconds
	 */
	record Plan(List<VmCapacity> targets, Set<TaskState> victims, double cost) {

		static final Plan NONE = new Plan(List.of(), Set.of(), 0);

	}

}
