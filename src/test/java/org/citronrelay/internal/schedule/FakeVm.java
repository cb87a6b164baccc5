package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.Step;
import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.batch.VmReport;
import org.citronrelay.internal.http.Address;

/**
 * A VM that runs each task for its estimate.
 */
final class FakeVm {

	private final SchedulerFixture fixture;

	final String id;

	final String rack;

	final Map<TaskId, Run> running = new LinkedHashMap<>();

	final List<VmAnswer.Ended> ended = new ArrayList<>();

	long boot = 1;

	boolean unreachable;

	/** Whether connections to its address are refused. */
	boolean refusingConnections;

	boolean failing;

	boolean hanging;

	/** Whether answers to renewals are lost on the way. */
	boolean losingAnswers;

	/** How much later orders to start take effect, unanswered; 0 for at once. */
	long startDelayMs;

	private final Map<TaskId, Long> highestEndedRuns = new HashMap<>();

	private final List<DelayedStart> delayedStarts = new ArrayList<>();

	/**
	 * Ends that were not acknowledged before the lease lapsed; they need not count.
	 */
	private final Set<Long> endedBeforeLapse = new HashSet<>();

	private long highestToken;

	private long lastEndNumber;

	private long leaseUntil;

	FakeVm(SchedulerFixture fixture, String id, String rack) {
		this.fixture = fixture;
		this.id = id;
		this.rack = rack;
	}

	VmReport report() {
		return new VmReport(this.id, "pool", new Address("10.0.0.1", 1), "a", this.boot, false,
				SchedulerFixture.CAPACITY, this.rack, Set.of("a", this.rack));
	}

	Resources free() {
		Resources free = SchedulerFixture.CAPACITY;
		for (Run run : this.running.values()) {
			free = free.minus(run.needs());
		}
		return free;
	}

	void start(Effect.Start order, long by) {
		if (this.unreachable) {
			return;
		}
		if (this.startDelayMs > 0) {
			this.delayedStarts.add(new DelayedStart(this.fixture.now + this.startDelayMs, order, by));
			return;
		}
		StartAnswer answer = execute(order, by);
		this.fixture.scheduler.startAnswered(order.task(), order.run(), answer, this.fixture.moment());
	}

	/**
	 * Carries out the orders whose time has come though nobody waits for an answer.
	 */
	void executeDelayed() {
		List<DelayedStart> due = this.delayedStarts.stream().filter((order) -> order.at() <= this.fixture.now).toList();
		this.delayedStarts.removeAll(due);
		due.forEach((order) -> execute(order.order(), order.by()));
	}

	private StartAnswer execute(Effect.Start order, long by) {
		endDueRuns();
		if (by < this.highestToken) {
			return StartAnswer.FENCED;
		}
		this.highestToken = by;
		if (order.leaseUntil() <= this.fixture.now) {
			return StartAnswer.LATE;
		}
		this.leaseUntil = Math.max(this.leaseUntil, order.leaseUntil());
		Run present = this.running.get(order.task());
		if (present != null && present.number() == order.run()) {
			return StartAnswer.STARTED;
		}
		if (order.run() <= this.highestEndedRuns.getOrDefault(order.task(), 0L)) {
			return StartAnswer.OUTDATED;
		}
		Step step = this.fixture.jobs.get(order.task().job()).steps().get(order.task().step());
		this.running.put(order.task(), new Run(order.run(), this.fixture.now, step));
		checkInvariants(order);
		return StartAnswer.STARTED;
	}

	private void checkInvariants(Effect.Start order) {
		Resources free = free();
		if (free.cpuMillis() < 0 || free.memoryMb() < 0 || free.accelerators() < 0) {
			this.fixture.violations.add("over capacity on " + this.id + " by " + order.task());
		}
		for (FakeVm other : this.fixture.vms.values()) {
			other.endDueRuns();
			if (other != this && other.running.containsKey(order.task())) {
				this.fixture.violations.add("twice: " + order.task() + " on " + other.id + " and " + this.id);
			}
		}
		if (this.fixture.acknowledged.contains(order.task())) {
			this.fixture.violations.add("started after its end was acknowledged: " + order.task());
		}
	}

	void stop(Effect.Stop order, long by) {
		if (this.unreachable || by < this.highestToken) {
			return;
		}
		this.highestToken = by;
		endDueRuns();
		Run run = this.running.get(order.task());
		if (run != null && run.number() == order.run()) {
			end(order.task(), run, VmAnswer.How.STOPPED);
		}
		this.highestEndedRuns.merge(order.task(), order.run(), Math::max);
		this.fixture.scheduler.stopAnswered(order.task(), order.run(), this.fixture.moment());
	}

	void renew(Effect.Renew order, long by) {
		if (this.unreachable || this.refusingConnections || by < this.highestToken) {
			this.fixture.scheduler.unanswered(this.id, this.refusingConnections, this.fixture.moment());
			return;
		}
		this.highestToken = by;
		endDueRuns();
		if (this.fixture.now > this.leaseUntil) {
			this.ended.forEach((end) -> this.endedBeforeLapse.add(end.number()));
		}
		this.leaseUntil = Math.max(this.leaseUntil, order.leaseUntil());
		for (VmAnswer.Ended end : this.ended) {
			if (end.number() <= order.acknowledge() && end.how() == VmAnswer.How.DONE
					&& !this.endedBeforeLapse.contains(end.number())) {
				this.fixture.acknowledged.add(end.task());
			}
		}
		this.ended.removeIf((end) -> end.number() <= order.acknowledge());
		if (this.losingAnswers) {
			this.fixture.scheduler.unanswered(this.id, false, this.fixture.moment());
			return;
		}
		this.fixture.scheduler.answered(this.id, answer(), this.fixture.moment());
	}

	/**
	 * Starts again and knows nothing of before.
	 */
	void reboot() {
		this.boot++;
		Map.copyOf(this.running).forEach((task, run) -> end(task, run, VmAnswer.How.LAPSED));
		this.running.clear();
		this.ended.clear();
		this.highestEndedRuns.clear();
		this.delayedStarts.clear();
		this.endedBeforeLapse.clear();
		this.lastEndNumber = 0;
		this.highestToken = 0;
		this.leaseUntil = 0;
	}

	/**
	 * Lets runs come to their end.
	 */
	void endDueRuns() {
		Map.copyOf(this.running).forEach((task, run) -> {
			if (!this.running.containsKey(task)) {
				return;
			}
			if (this.fixture.now > this.leaseUntil) {
				end(task, run, VmAnswer.How.LAPSED);
			}
			else if (this.failing) {
				end(task, run, VmAnswer.How.FAILED);
			}
			else if (finished(task, run)) {
				end(task, run, VmAnswer.How.DONE);
			}
		});
	}

	/**
	 * Whether a run has done its work; the members of a gang work from the moment when
	 * all are present.
	 */
	private boolean finished(TaskId task, Run run) {
		List<FakeVm> places = run.step().gang() ? membersOf(task, run) : List.of(this);
		int wanted = run.step().gang() ? run.step().count() : 1;
		long begun = places.stream()
			.flatMap((vm) -> vm.running.entrySet().stream())
			.filter((entry) -> sameRunOrGang(entry.getKey(), entry.getValue(), task, run))
			.mapToLong((entry) -> entry.getValue().since())
			.max()
			.orElse(run.since());
		return places.size() == wanted && places.stream().noneMatch((vm) -> vm.hanging)
				&& this.fixture.now >= begun + run.step().estimateMs();
	}

	/**
	 * The VM of each member of a gang that runs, one entry a member.
	 */
	private List<FakeVm> membersOf(TaskId task, Run run) {
		List<FakeVm> places = new ArrayList<>();
		for (FakeVm vm : this.fixture.vms.values()) {
			vm.running.forEach((other, its) -> {
				if (sameRunOrGang(other, its, task, run)) {
					places.add(vm);
				}
			});
		}
		return places;
	}

	private boolean sameRunOrGang(TaskId other, Run its, TaskId task, Run run) {
		boolean sameStep = other.job().equals(task.job()) && other.step() == task.step()
				&& other.occurrence() == task.occurrence();
		return sameStep && (run.step().gang() ? its.number() == run.number() : other.equals(task));
	}

	/**
	 * Keeps everything that runs alive while time jumps.
	 */
	void extendLease() {
		this.leaseUntil = this.fixture.now + SchedulerFixture.TIMINGS.longestLeaseMs();
	}

	/**
	 * Ends all runs as if another member of their gang had ended.
	 */
	void endAllAsBroken() {
		Map.copyOf(this.running).forEach((task, run) -> end(task, run, VmAnswer.How.BROKEN));
	}

	private void end(TaskId task, Run run, VmAnswer.How how) {
		List<FakeVm> others = run.step().gang() ? membersOf(task, run) : List.of();
		close(task, run, how);
		VmAnswer.How rest = (how != VmAnswer.How.DONE) ? VmAnswer.How.BROKEN : how;
		for (FakeVm vm : others) {
			Map.copyOf(vm.running).forEach((member, its) -> {
				if (sameRunOrGang(member, its, task, run)) {
					vm.close(member, its, rest);
				}
			});
		}
	}

	private void close(TaskId task, Run run, VmAnswer.How how) {
		this.running.remove(task);
		this.highestEndedRuns.merge(task, run.number(), Math::max);
		this.ended.add(new VmAnswer.Ended(++this.lastEndNumber, task, run.number(), how, ""));
	}

	/**
	 * How far a run has come; a member of a gang that waits for others stands still.
	 */
	private int percent(TaskId task, Run run) {
		boolean waits = run.step().gang() && membersOf(task, run).size() < run.step().count();
		return (this.hanging || waits) ? 0
				: (int) (100 * (this.fixture.now - run.since()) / Math.max(1, run.step().estimateMs()));
	}

	private VmAnswer answer() {
		List<VmAnswer.Running> list = new ArrayList<>();
		this.running.forEach((task, run) -> list.add(new VmAnswer.Running(task, run.number(), "", percent(task, run))));
		return new VmAnswer(this.boot, this.fixture.now, list, this.ended);
	}

	/**
	 * An order that takes effect later.
	 *
	 * @param at when
	 * @param order the order
	 * @param by the token of the coordinator that gave it
	 */
	private record DelayedStart(long at, Effect.Start order, long by) {
	}

	/**
	 * A run on a VM.
	 *
	 * @param number its number
	 * @param since when it began
	 * @param step its step
	 */
	record Run(long number, long since, Step step) {

		Resources needs() {
			return this.step.each();
		}

	}

}
