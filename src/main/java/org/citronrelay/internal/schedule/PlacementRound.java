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
 * Gives VMs to the tasks that wait, the most urgent first.
 */
final class PlacementRound {

	/** How much work others may lose for urgent work, as a multiple of its own size. */
	private static final double MAX_PREEMPTION_COST = 4;

	/**
	 * The share of a pool in use above which work that is past all use is not started:
	 * the rest is left to what comes next.
	 */
	private static final double MAX_USAGE_FOR_EXPIRED = 0.7;

	/** The share of a pool in use below which work need not wait for the best VMs. */
	private static final double LOW_USAGE = 0.5;

	/** How long work waits for the best VMs while most others are free, in ms. */
	private static final long PREFERRED_VMS_WAIT_MS = 1_500;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final Function<VmCapacity, Resources> FREE = (room) -> room.free;

	private static final Function<VmCapacity, Resources> FREE_SOON = (room) -> room.freeSoon;

	private final VmRegistry vms;

	private final TaskLifecycle lifecycle;

	private final Outbox outbox;

	PlacementRound(VmRegistry fleet, TaskLifecycle lifecycle, Outbox outbox) {
		this.vms = fleet;
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
		List<VmCapacity> rooms = this.vms.availableCapacities(now);
		Context round = new Context(now, TeamGuarantees.of(jobs, teams), new TaskPlacer(rooms),
				new BackfillReservations(rooms.size(), now.ticks()));
		round.queueOrder().rank(due).forEach((urgency) -> placeStep(urgency, round));
	}

	/**
	 * Gives a step what room there is. For what is left it makes room or keeps some.
	 */
	private void placeStep(Urgency urgency, Context round) {
		StepState step = urgency.step();
		step.waitingSince = (step.waitingSince > 0) ? step.waitingSince : round.now().ticks();
		if (urgency.expired() && round.placer().usage(step.job.pool) > MAX_USAGE_FOR_EXPIRED) {
			return;
		}
		List<TaskState> waiting = step.waitingTasks();
		waiting.forEach((task) -> round.placer().clearAvoidedIfNoneAllowed(step, task));
		List<TaskState> left = place(step, waiting, round.placer().place(step, waiting, FREE), round);
		boolean anywhere = acceptsAnyVm(urgency, round);
		if (!left.isEmpty() && anywhere) {
			left = place(step, left, round.placer().placeAnywhere(step, left, FREE), round);
		}
		if (left.isEmpty()) {
			step.waitingSince = 0;
		}
		else if (!secureCapacity(urgency, left, anywhere, round)) {
			round.reservations()
				.reserve(step, step.spec.gang() ? left : left.subList(0, 1), round.placer().candidateGroups(step));
		}
	}

	/**
	 * Whether work runs on any VMs, though slower: it is of no use in any case, or it has
	 * waited long enough for the best ones while it was promised room or most VMs are
	 * free.
	 */
	private static boolean acceptsAnyVm(Urgency urgency, Context round) {
		StepState step = urgency.step();
		boolean patient = round.now().ticks() - step.waitingSince < PREFERRED_VMS_WAIT_MS;
		return urgency.expired()
				|| (!patient && (urgency.guaranteed() || round.placer().usage(step.job.pool) < LOW_USAGE));
	}

	/**
	 * Gives the chosen VMs to the first tasks of a list; returns the others.
	 */
	private List<TaskState> place(StepState step, List<TaskState> waiting, List<VmCapacity> chosen, Context round) {
		long run = step.spec.gang() ? step.nextRunNumber(waiting.getFirst()) : 0;
		for (int index = 0; index < chosen.size(); index++) {
			TaskState task = waiting.get(index);
			chosen.get(index).allocate(task.needs());
			this.lifecycle.place(task, chosen.get(index).vm, step.spec.gang() ? run : step.nextRunNumber(task),
					round.now());
		}
		if (!chosen.isEmpty()) {
			round.placer().placed();
			this.outbox.note(step.job.id(), "step placed",
					"step " + step.number + ": " + chosen.size() + " of " + waiting.size() + " tasks on "
							+ tasksByVm(chosen) + " after " + (round.now().wallMs() - step.job.spec.acceptedAtMs())
							+ " ms");
		}
		return waiting.subList(chosen.size(), waiting.size());
	}

	/**
	 * Urgent work does not wait for others to end: it takes room that is being freed, or
	 * stops less urgent runs. What its team was promised it gets at any cost, also from
	 * urgent work of teams beyond their promise; more than that only while it can meet
	 * its objective, and only where it is worth what is lost.
	 * @param anywhere whether VMs count on which it runs slower
	 * @return whether it will have room
	 */
	private boolean secureCapacity(Urgency urgency, List<TaskState> left, boolean anywhere, Context round) {
		StepState step = urgency.step();
		List<VmCapacity> soon = round.placer().place(step, left, FREE_SOON);
		if (soon.size() < left.size() && anywhere) {
			soon = round.placer().placeAnywhere(step, left, FREE_SOON);
		}
		if (soon.size() == left.size()) {
			soon.forEach((room) -> room.allocate(step.spec.each()));
			return true;
		}
		boolean promised = urgency.guaranteed();
		if (!promised && (step.job.priority > 0 || urgency.late())) {
			return false;
		}
		PreemptionPlanner picker = new PreemptionPlanner(round.now().ticks(),
				(other) -> other.priority > step.job.priority
						|| (promised && other != step.job && !round.guarantees().covers(other)));
		PreemptionPlanner.Plan plan = picker.plan(step, left, round.placer().candidateGroups(step));
		if (plan.targets().isEmpty() && anywhere) {
			plan = picker.plan(step, left, round.placer().allVms());
		}
		double own = left.size() * step.spec.each().coreEquivalents() * step.spec.estimateMs() / MILLIS_PER_SECOND;
		if (plan.targets().isEmpty() || (!promised && plan.cost() > MAX_PREEMPTION_COST * own)) {
			return false;
		}
		this.outbox.note(step.job.id(), "others stopped for urgent work", plan.victims().size() + " runs, "
				+ Math.round(plan.cost()) + " core-seconds not saved, for " + left.size() + " tasks");
		plan.victims().forEach(this.lifecycle::stop);
		plan.targets().forEach((room) -> room.allocate(step.spec.each()));
		return true;
	}

	private static Map<String, Integer> tasksByVm(List<VmCapacity> chosen) {
		Map<String, Integer> counts = new HashMap<>();
		chosen.forEach((room) -> counts.merge(room.vm.id(), 1, Integer::sum));
		return counts;
	}

	/**
	 * What one round of placing works with.
	 *
	 * @param now the present time
	 * @param guarantees which teams are within what they were promised
	 * @param placer chooses VMs
	 * @param reservations keeps room for what is too large for now
	 */
	private record Context(Moment now, TeamGuarantees guarantees, TaskPlacer placer,
			BackfillReservations reservations) {

		QueueOrder queueOrder() {
			return new QueueOrder(this.now, this.guarantees);
		}

	}

}
