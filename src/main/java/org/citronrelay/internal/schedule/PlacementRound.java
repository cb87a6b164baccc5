package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.citronrelay.internal.batch.QueueCatalogue.Team;
import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.schedule.QueueOrder.Urgency;

/**
 * Places the waiting tasks on VMs, the most urgent first.
 */
final class PlacementRound {

	/**
	 * The most work that others may lose for urgent work beyond its guarantee, as a
	 * multiple of the size of the urgent work.
	 */
	private static final double MAX_PREEMPTION_COST = 4;

	/**
	 * The share of a pool in use above which expired jobs are not started, so that the
	 * rest stays free for later jobs.
	 */
	private static final double MAX_USAGE_FOR_EXPIRED = 0.7;

	/**
	 * The share of a pool in use below which a step that is not within its team's
	 * guarantee may also give up waiting for its preferred VMs.
	 */
	private static final double LOW_USAGE = 0.5;

	/**
	 * How long a step waits for its preferred VMs before others may be used, in
	 * milliseconds.
	 */
	private static final long PREFERRED_VMS_WAIT_MS = 1_500;

	/**
	 * How long a long-running task that had a run waits before it may take capacity that
	 * is reserved for others, in milliseconds.
	 */
	private static final long RESTART_WAIT_MS = 3_000;

	/**
	 * The share of the VMs that may be emptied at a time for isolated tasks, at least
	 * one.
	 */
	private static final double MAX_EMPTYING_SHARE = 0.15;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final Function<VmCapacity, Resources> FREE = (vmCapacity) -> vmCapacity.free;

	private static final Function<VmCapacity, Resources> FREE_OR_RESERVED = (vmCapacity) -> vmCapacity.free
		.plus(vmCapacity.reserved);

	private static final Function<VmCapacity, Resources> FREE_SOON = (vmCapacity) -> vmCapacity.freeSoon;

	private final VmRegistry vms;

	private final TaskLifecycle lifecycle;

	private final Outbox outbox;

	PlacementRound(VmRegistry vms, TaskLifecycle lifecycle, Outbox outbox) {
		this.vms = vms;
		this.lifecycle = lifecycle;
		this.outbox = outbox;
	}

	void run(Collection<JobState> jobs, Map<String, Team> teams, Moment now) {
		List<StepState> due = new ArrayList<>();
		for (JobState job : jobs) {
			if (!job.phase.ended() && !job.pool.isEmpty()) {
				job.steps.stream().filter((step) -> !step.waitingTasks().isEmpty() && step.due(now)).forEach(due::add);
			}
		}
		if (due.isEmpty()) {
			return;
		}
		List<VmCapacity> vmCapacities = this.vms.availableCapacities(now);
		Context context = new Context(now, TeamGuarantees.of(jobs, teams), new TaskPlacer(vmCapacities),
				new BackfillReservations(vmCapacities.size(), now.monotonicMs()));
		List<Urgency> ranked = context.queueOrder().rank(due);
		holdVms(ranked, vmCapacities, context);
		placeInOrder(ranked, new CapacityClaims(vmCapacities), context);
	}

	/**
	 * Keeps a VM free for each waiting isolated task, the one that is ready first. On a
	 * busy cluster there is none otherwise on which nothing has just started. A gang may
	 * never fit, so this ends with the patience of the task.
	 */
	private static void holdVms(List<Urgency> ranked, List<VmCapacity> vmCapacities, Context context) {
		int emptying = 0;
		int maxEmptying = Math.max(1, (int) (MAX_EMPTYING_SHARE * vmCapacities.size()));
		for (Urgency urgency : ranked) {
			if (postponed(urgency, context)) {
				continue;
			}
			for (TaskState task : urgency.step().waitingTasks()) {
				if (!task.isolated() || !VmCapacity.waitsForQuietVm(task, context.now().monotonicMs())) {
					continue;
				}
				VmCapacity first = firstReady(task, vmCapacities);
				boolean ready = first != null && first.readyFor(task) <= context.now().monotonicMs();
				if (first != null && (ready || emptying < maxEmptying)) {
					first.holdFor(task.step.job);
					emptying += ready ? 0 : 1;
				}
			}
		}
	}

	private static VmCapacity firstReady(TaskState task, List<VmCapacity> vmCapacities) {
		VmCapacity first = null;
		long readyAt = Long.MAX_VALUE;
		for (VmCapacity vmCapacity : vmCapacities) {
			long candidate = vmCapacity.readyFor(task);
			if (candidate < readyAt
					&& TaskPlacer.eligible(task.step, vmCapacity, TaskPlacer.placedTasks(task.step, vmCapacity))) {
				first = vmCapacity;
				readyAt = candidate;
			}
		}
		return first;
	}

	/**
	 * Whether an expired step has to leave the rest of its pool to later jobs.
	 */
	private static boolean postponed(Urgency urgency, Context context) {
		return urgency.expired() && context.placer().usage(urgency.step().job.pool) > MAX_USAGE_FOR_EXPIRED;
	}

	/**
	 * Places the steps in their order. The claims of steps that no guarantee covers bind
	 * only steps that no guarantee covers either.
	 */
	private void placeInOrder(List<Urgency> ranked, CapacityClaims claims, Context context) {
		ranked.stream().filter(Urgency::guaranteed).map(Urgency::step).forEach(claims::hold);
		boolean onlyGuaranteedClaims = true;
		for (Urgency urgency : ranked) {
			if (onlyGuaranteedClaims && !urgency.guaranteed()) {
				onlyGuaranteedClaims = false;
				ranked.stream().filter((other) -> !other.guaranteed()).map(Urgency::step).forEach(claims::hold);
			}
			claims.release(urgency.step());
			placeStep(urgency, context);
		}
	}

	/**
	 * Places as many tasks of a step as fit. For the rest it secures capacity that
	 * becomes free soon or, if that fails, reserves capacity.
	 */
	private void placeStep(Urgency urgency, Context context) {
		StepState step = urgency.step();
		step.waitingSince = (step.waitingSince > 0) ? step.waitingSince : context.now().monotonicMs();
		step.claimedVms = List.of();
		if (postponed(urgency, context)) {
			return;
		}
		List<TaskState> waiting = step.waitingTasks();
		context.placer().allowReturnIfNoOtherVm(step, waiting);
		if (!step.spec.gang() && waiting.stream().anyMatch(TaskState::guarded)) {
			placeGuarded(step, waiting, context);
			waiting = step.waitingTasks().stream().filter((task) -> !task.guarded()).toList();
		}
		List<TaskState> unplaced = place(step, waiting, context.placer().place(step, waiting, FREE), context);
		boolean anyVm = acceptsAnyVm(urgency, context);
		if (!unplaced.isEmpty() && anyVm) {
			unplaced = place(step, unplaced, context.placer().placeAnywhere(step, unplaced, FREE), context);
		}
		unplaced = restartOnReserved(step, unplaced, context);
		if (unplaced.isEmpty()) {
			step.waitingSince = step.waitingTasks().isEmpty() ? 0 : step.waitingSince;
		}
		else if (!secureCapacity(urgency, unplaced, anyVm, context)) {
			context.reservations()
				.reserve(step, step.spec.gang() ? unplaced : unplaced.subList(0, 1),
						context.placer().candidateGroups(step));
		}
	}

	/**
	 * Places guarded tasks one by one, each where it takes the fewest others along. They
	 * preempt nothing and reserve nothing.
	 */
	private void placeGuarded(StepState step, List<TaskState> waiting, Context context) {
		for (TaskState task : waiting) {
			if (task.guarded()) {
				List<TaskState> unplaced = place(step, List.of(task),
						context.placer().placeAnywhere(step, List.of(task), FREE), context);
				restartOnReserved(step, unplaced, context);
			}
		}
	}

	/**
	 * Places long-running tasks whose runs have ended where capacity is reserved for
	 * other steps. Such a reservation can last as long as the runs of others do. Returns
	 * the tasks that are not placed.
	 */
	private List<TaskState> restartOnReserved(StepState step, List<TaskState> unplaced, Context context) {
		boolean waitedLong = context.now().monotonicMs() - step.waitingSince >= RESTART_WAIT_MS;
		if (!step.spec.shape().longRunning() || !waitedLong) {
			return unplaced;
		}
		List<TaskState> restarts = unplaced.stream().filter((task) -> task.run > 0).toList();
		if (!restarts.isEmpty()) {
			place(step, restarts, context.placer().placeAnywhere(step, restarts, FREE_OR_RESERVED), context);
		}
		return unplaced.stream().filter((task) -> task.phase == TaskPhase.WAITING).toList();
	}

	/**
	 * Whether a step may use VMs on which it runs slower: its job has expired, or it has
	 * waited long enough for its preferred VMs and is long-running, within its guarantee
	 * or most of the pool is free.
	 */
	private static boolean acceptsAnyVm(Urgency urgency, Context context) {
		StepState step = urgency.step();
		boolean stillWaiting = context.now().monotonicMs() - step.waitingSince < PREFERRED_VMS_WAIT_MS;
		return urgency.expired() || (!stillWaiting && (urgency.guaranteed() || step.spec.shape().longRunning()
				|| context.placer().usage(step.job.pool) < LOW_USAGE));
	}

	/**
	 * Assigns the chosen VMs to their tasks. Returns the waiting tasks without one.
	 */
	private List<TaskState> place(StepState step, List<TaskState> waiting, Map<TaskState, VmCapacity> chosen,
			Context context) {
		long run = step.spec.gang() ? step.nextRunNumber(waiting.getFirst()) : 0;
		chosen.forEach((task, vmCapacity) -> {
			vmCapacity.allocate(task.needs());
			this.lifecycle.place(task, vmCapacity.vm, step.spec.gang() ? run : step.nextRunNumber(task), context.now());
			vmCapacity.placed(task);
		});
		if (!chosen.isEmpty()) {
			context.placer().discardUsage();
			this.outbox.note(step.job.id(), "Placed tasks of a step", "step " + step.number + ": " + chosen.size()
					+ " of " + waiting.size() + " tasks on " + tasksByVm(chosen.values()) + ", "
					+ (context.now().wallMs() - step.job.spec.acceptedAtMs()) + " ms after the job was accepted");
		}
		return waiting.stream().filter((task) -> !chosen.containsKey(task)).toList();
	}

	/**
	 * Secures capacity for the unplaced tasks of a step: it takes capacity that is being
	 * freed, or preempts runs of less urgent jobs. A step within the guarantee of its
	 * team may preempt at any cost, also urgent jobs of teams beyond their guarantees.
	 * Any other step may preempt only if its job is urgent and can meet its objective,
	 * and only if the lost work is small enough compared with its own.
	 * @param anyVm whether VMs on which the step runs slower may be used
	 * @return whether all the unplaced tasks will have capacity
	 */
	private boolean secureCapacity(Urgency urgency, List<TaskState> unplaced, boolean anyVm, Context context) {
		StepState step = urgency.step();
		Map<TaskState, VmCapacity> freedSoon = context.placer().place(step, unplaced, FREE_SOON);
		if (freedSoon.size() < unplaced.size() && anyVm) {
			freedSoon = context.placer().placeAnywhere(step, unplaced, FREE_SOON);
		}
		if (freedSoon.size() == unplaced.size()) {
			claim(urgency, freedSoon.values());
			return true;
		}
		boolean guaranteed = urgency.guaranteed();
		if (!guaranteed && (step.job.priority > 0 || urgency.late())) {
			return false;
		}
		PreemptionPlanner planner = new PreemptionPlanner(context.now().monotonicMs(),
				(other) -> other.priority > step.job.priority
						|| (guaranteed && other != step.job && !context.guarantees().covers(other)));
		PreemptionPlanner.Plan plan = planner.plan(step, unplaced, context.placer().candidateGroups(step));
		if (plan.targets().isEmpty() && anyVm) {
			plan = planner.plan(step, unplaced, context.placer().allVms());
		}
		double ownWork = unplaced.size() * step.spec.taskResources().coreEquivalents() * step.spec.estimateMs()
				/ MILLIS_PER_SECOND;
		if (plan.targets().isEmpty() || (!guaranteed && plan.cost() > MAX_PREEMPTION_COST * ownWork)) {
			return false;
		}
		this.outbox.note(step.job.id(), "Preempting runs for urgent work", plan.victims().size() + " runs, "
				+ Math.round(plan.cost()) + " core-seconds of unsaved work, for " + unplaced.size() + " tasks");
		plan.victims().forEach((victim) -> this.lifecycle.stop(victim, RunEndCause.PREEMPTED, context.now()));
		claim(urgency, plan.targets());
		return true;
	}

	/**
	 * Takes the capacity that is being freed for a step. An urgent step keeps it in later
	 * rounds, other steps leave it to work that becomes more urgent.
	 */
	private static void claim(Urgency urgency, Collection<VmCapacity> targets) {
		StepState step = urgency.step();
		targets.forEach((vmCapacity) -> vmCapacity.allocate(step.spec.taskResources()));
		if (urgency.guaranteed() || (step.job.priority == 0 && !urgency.late())) {
			step.claimedVms = targets.stream().map((vmCapacity) -> vmCapacity.vm.id()).toList();
		}
	}

	private static Map<String, Integer> tasksByVm(Collection<VmCapacity> chosen) {
		Map<String, Integer> counts = new HashMap<>();
		chosen.forEach((vmCapacity) -> counts.merge(vmCapacity.vm.id(), 1, Integer::sum));
		return counts;
	}

	/**
	 * The parts of one placement round.
	 *
	 * @param now the current time
	 * @param guarantees tells which jobs are within the guarantees of their teams
	 * @param placer chooses VMs
	 * @param reservations reserves capacity for steps that need more than is free
	 */
	private record Context(Moment now, TeamGuarantees guarantees, TaskPlacer placer,
			BackfillReservations reservations) {

		QueueOrder queueOrder() {
			return new QueueOrder(this.now, this.guarantees);
		}

	}

}
