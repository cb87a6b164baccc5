package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.citronrelay.internal.batch.Queue;
import org.citronrelay.internal.batch.QueueCatalogue.Team;

/**
 * Gives VMs to the tasks that wait, the most urgent first.
 */
final class PlacingRound {

	/** How much work others may lose for urgent work, as a multiple of its own size. */
	private static final double MOST_LOST = 4;

	private static final double MILLIS = 1_000;

	private final Fleet fleet;

	private final Lifecycle lifecycle;

	private final Outbox outbox;

	PlacingRound(Fleet fleet, Lifecycle lifecycle, Outbox outbox) {
		this.fleet = fleet;
		this.lifecycle = lifecycle;
		this.outbox = outbox;
	}

	void run(Collection<JobState> jobs, Map<String, Queue> queues, Map<String, Team> teams, Moment now) {
		List<StepState> due = new ArrayList<>();
		for (JobState job : jobs) {
			if (!job.phase.ended() && !job.pool.isEmpty()) {
				job.steps.stream().filter((step) -> !step.waiting().isEmpty() && step.due(now)).forEach(due::add);
			}
		}
		if (due.isEmpty()) {
			return;
		}
		due.sort(new QueueOrder(now, queues).comparator());
		Guarantees guarantees = Guarantees.of(jobs, teams);
		Placer placer = new Placer(this.fleet.rooms(now));
		for (StepState step : due) {
			List<TaskState> left = place(step, placer, now);
			if (!left.isEmpty() && step.job.priority == 0) {
				makeRoom(step, left, placer, guarantees, now);
			}
		}
	}

	/**
	 * Gives VMs to the tasks of a step, as far as there is room; returns the others.
	 */
	private List<TaskState> place(StepState step, Placer placer, Moment now) {
		List<TaskState> waiting = step.waiting();
		List<Room> chosen = placer.place(step, waiting, (room) -> room.free);
		long run = step.spec.gang() ? step.nextRun(waiting.getFirst()) : 0;
		for (int index = 0; index < chosen.size(); index++) {
			TaskState task = waiting.get(index);
			chosen.get(index).take(task.needs());
			this.lifecycle.place(task, chosen.get(index).vm, step.spec.gang() ? run : step.nextRun(task), now);
		}
		if (!chosen.isEmpty()) {
			this.outbox.note(step.job.id(), "step placed",
					"step " + step.number + ": " + chosen.size() + " of " + waiting.size() + " tasks on " + vms(chosen)
							+ " after " + (now.wallMs() - step.job.spec.acceptedAtMs()) + " ms");
		}
		return waiting.subList(chosen.size(), waiting.size());
	}

	/**
	 * Urgent work does not wait for others to end: it takes room that is being freed, or
	 * stops less urgent runs. What its team was promised it gets at any cost; beyond that
	 * it must be worth what is lost.
	 */
	private void makeRoom(StepState step, List<TaskState> left, Placer placer, Guarantees guarantees, Moment now) {
		List<Room> soon = placer.place(step, left, (room) -> room.soon);
		if (soon.size() == left.size()) {
			soon.forEach((room) -> room.take(step.spec.each()));
			return;
		}
		VictimPicker.Plan plan = new VictimPicker(now.ticks(), step.job.priority).plan(step, left, placer.groups(step));
		if (plan.rooms().isEmpty()) {
			return;
		}
		double own = left.size() * step.spec.each().coreEquivalents() * step.spec.estimateMs() / MILLIS;
		if (plan.cost() > MOST_LOST * own && !guarantees.covers(step.job)) {
			return;
		}
		this.outbox.note(step.job.id(), "others stopped for urgent work", plan.victims().size() + " runs, "
				+ Math.round(plan.cost()) + " core-seconds not saved, for " + left.size() + " tasks");
		plan.victims().forEach(this.lifecycle::stop);
		plan.rooms().forEach((room) -> room.take(step.spec.each()));
	}

	private static Map<String, Integer> vms(List<Room> chosen) {
		Map<String, Integer> counts = new HashMap<>();
		chosen.forEach((room) -> counts.merge(room.vm.id(), 1, Integer::sum));
		return counts;
	}

}
