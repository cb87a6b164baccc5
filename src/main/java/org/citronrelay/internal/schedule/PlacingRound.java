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
final class PlacingRound {

	/** How much work others may lose for urgent work, as a multiple of its own size. */
	private static final double MOST_LOST = 4;

	/**
	 * The share of a pool in use above which work that is past all use is not started:
	 * the rest is left to what comes next.
	 */
	private static final double ROOM_FOR_USELESS = 0.7;

	/** The share of a pool in use below which work need not wait for the best VMs. */
	private static final double MOSTLY_FREE = 0.5;

	/** How long work waits for the best VMs while most others are free, in ms. */
	private static final long CHOOSY_MS = 1_500;

	private static final double MILLIS = 1_000;

	private static final Function<Room, Resources> NOW_FREE = (room) -> room.free;

	private static final Function<Room, Resources> SOON_FREE = (room) -> room.soon;

	private final Fleet fleet;

	private final Lifecycle lifecycle;

	private final Outbox outbox;

	PlacingRound(Fleet fleet, Lifecycle lifecycle, Outbox outbox) {
		this.fleet = fleet;
		this.lifecycle = lifecycle;
		this.outbox = outbox;
	}

	void run(Collection<JobState> jobs, Map<String, Team> teams, Moment now) {
		List<StepState> due = new ArrayList<>();
		for (JobState job : jobs) {
			if (!job.phase.ended() && !job.pool.isEmpty()) {
				job.steps.stream().filter((step) -> !step.waiting().isEmpty() && step.due(now)).forEach(due::add);
			}
		}
		if (due.isEmpty()) {
			return;
		}
		List<Room> rooms = this.fleet.rooms(now);
		Round round = new Round(now, Guarantees.of(jobs, teams), new Placer(rooms),
				new RoomKeeper(rooms.size(), now.ticks()));
		round.order().rank(due).forEach((urgency) -> serve(urgency, round));
	}

	/**
	 * Gives a step what room there is. For what is left it makes room or keeps some.
	 */
	private void serve(Urgency urgency, Round round) {
		StepState step = urgency.step();
		step.waitsSince = (step.waitsSince > 0) ? step.waitsSince : round.now().ticks();
		if (urgency.useless() && round.placer().usage(step.job.pool) > ROOM_FOR_USELESS) {
			return;
		}
		List<TaskState> waiting = step.waiting();
		waiting.forEach((task) -> round.placer().forgive(step, task));
		List<TaskState> left = place(step, waiting, round.placer().place(step, waiting, NOW_FREE), round);
		boolean anywhere = takesAnyVms(urgency, round);
		if (!left.isEmpty() && anywhere) {
			left = place(step, left, round.placer().placeAnywhere(step, left, NOW_FREE), round);
		}
		if (left.isEmpty()) {
			step.waitsSince = 0;
		}
		else if (!makeRoom(urgency, left, anywhere, round)) {
			round.keeper().keep(step, step.spec.gang() ? left : left.subList(0, 1), round.placer().groups(step));
		}
	}

	/**
	 * Whether work runs on any VMs, though slower: it is of no use in any case, or it has
	 * waited long enough for the best ones while it was promised room or most VMs are
	 * free.
	 */
	private static boolean takesAnyVms(Urgency urgency, Round round) {
		StepState step = urgency.step();
		boolean patient = round.now().ticks() - step.waitsSince < CHOOSY_MS;
		return urgency.useless()
				|| (!patient && (urgency.promised() || round.placer().usage(step.job.pool) < MOSTLY_FREE));
	}

	/**
	 * Gives the chosen VMs to the first tasks of a list; returns the others.
	 */
	private List<TaskState> place(StepState step, List<TaskState> waiting, List<Room> chosen, Round round) {
		long run = step.spec.gang() ? step.nextRun(waiting.getFirst()) : 0;
		for (int index = 0; index < chosen.size(); index++) {
			TaskState task = waiting.get(index);
			chosen.get(index).take(task.needs());
			this.lifecycle.place(task, chosen.get(index).vm, step.spec.gang() ? run : step.nextRun(task), round.now());
		}
		if (!chosen.isEmpty()) {
			round.placer().placed();
			this.outbox.note(step.job.id(), "step placed",
					"step " + step.number + ": " + chosen.size() + " of " + waiting.size() + " tasks on " + vms(chosen)
							+ " after " + (round.now().wallMs() - step.job.spec.acceptedAtMs()) + " ms");
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
	private boolean makeRoom(Urgency urgency, List<TaskState> left, boolean anywhere, Round round) {
		StepState step = urgency.step();
		List<Room> soon = round.placer().place(step, left, SOON_FREE);
		if (soon.size() < left.size() && anywhere) {
			soon = round.placer().placeAnywhere(step, left, SOON_FREE);
		}
		if (soon.size() == left.size()) {
			soon.forEach((room) -> room.take(step.spec.each()));
			return true;
		}
		boolean promised = urgency.promised();
		if (!promised && (step.job.priority > 0 || urgency.late())) {
			return false;
		}
		VictimPicker picker = new VictimPicker(round.now().ticks(), (other) -> other.priority > step.job.priority
				|| (promised && other != step.job && !round.guarantees().covers(other)));
		VictimPicker.Plan plan = picker.plan(step, left, round.placer().groups(step));
		if (plan.rooms().isEmpty() && anywhere) {
			plan = picker.plan(step, left, round.placer().anywhere());
		}
		double own = left.size() * step.spec.each().coreEquivalents() * step.spec.estimateMs() / MILLIS;
		if (plan.rooms().isEmpty() || (!promised && plan.cost() > MOST_LOST * own)) {
			return false;
		}
		this.outbox.note(step.job.id(), "others stopped for urgent work", plan.victims().size() + " runs, "
				+ Math.round(plan.cost()) + " core-seconds not saved, for " + left.size() + " tasks");
		plan.victims().forEach(this.lifecycle::stop);
		plan.rooms().forEach((room) -> room.take(step.spec.each()));
		return true;
	}

	private static Map<String, Integer> vms(List<Room> chosen) {
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
	 * @param keeper keeps room for what is too large for now
	 */
	private record Round(Moment now, Guarantees guarantees, Placer placer, RoomKeeper keeper) {

		QueueOrder order() {
			return new QueueOrder(this.now, this.guarantees);
		}

	}

}
