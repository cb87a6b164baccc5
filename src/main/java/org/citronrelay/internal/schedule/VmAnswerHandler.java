package org.citronrelay.internal.schedule;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.TaskId;

/**
 * Applies the answer of a VM to a renewal: compares the runs that the VM lists with those
 * that the coordinator has recorded for it.
 */
final class VmAnswerHandler {

	private final TaskLifecycle lifecycle;

	private final Outbox outbox;

	private final DuplicateRuns duplicateRuns;

	private final Function<TaskId, TaskState> tasks;

	private final long stopGraceMs;

	/**
	 * Creates the handler.
	 * @param tasks finds a task by its id, null if there is none
	 * @param stopGraceMs how long a VM may take to stop a run
	 */
	VmAnswerHandler(TaskLifecycle lifecycle, Outbox outbox, DuplicateRuns duplicateRuns,
			Function<TaskId, TaskState> tasks, long stopGraceMs) {
		this.lifecycle = lifecycle;
		this.outbox = outbox;
		this.duplicateRuns = duplicateRuns;
		this.tasks = tasks;
		this.stopGraceMs = stopGraceMs;
	}

	/**
	 * Applies an answer.
	 * @param sentAt when the renewal was sent, in monotonic milliseconds
	 */
	void handle(VmState vm, VmAnswer answer, long sentAt, Moment now) {
		vm.tasks.stream()
			.filter((task) -> task.boot != answer.boot())
			.forEach((task) -> carryOver(task, answer.boot(), now));
		answer.ended()
			.stream()
			.filter((ended) -> ended.number() > vm.handledEnd)
			.sorted(Comparator.comparingLong(VmAnswer.Ended::number))
			.forEach((ended) -> handleEnded(vm, ended, now));
		Set<String> listed = new HashSet<>();
		answer.running().forEach((running) -> listed.add(runKey(running.task(), running.run())));
		forgetEndedOrphans(vm, answer, listed, sentAt, now);
		answer.running().forEach((running) -> handleRunning(vm, running, now));
		if (answer.moreEnds()) {
			return;
		}
		for (TaskState task : List.copyOf(vm.tasks)) {
			if (!listed.contains(runKey(task.id(), task.run))) {
				handleMissing(vm, task, sentAt, now);
			}
		}
	}

	private void forgetEndedOrphans(VmState vm, VmAnswer answer, Set<String> listed, long sentAt, Moment now) {
		answer.ended().forEach((ended) -> vm.orphanedRuns.remove(runKey(ended.task(), ended.run())));
		vm.orphanedRuns.replaceAll((key, orphan) -> listed.contains(key) ? orphan : orphan.unlisted(now));
		vm.orphanedRuns.values().removeIf((orphan) -> orphan.endedBy(sentAt, this.stopGraceMs));
	}

	/**
	 * Records that a later instance of the VM has started a run that was recorded for an
	 * earlier one.
	 */
	private void carryOver(TaskState task, long boot, Moment now) {
		this.outbox.note(task.step.job.id(), "Run is on a later instance of its VM",
				task.id() + " run " + task.run + " on " + task.vm + ", boot " + boot + " instead of " + task.boot);
		task.boot = boot;
		task.percent = 0;
		task.progressedAt = now.monotonicMs();
		task.startedAt = (task.listed && task.startedAt > 0) ? now.monotonicMs() : task.startedAt;
		task.ruledOutFrom = 0;
		task.step.job.unstored = true;
	}

	/**
	 * Applies the end of a run. An end of a run other than the recorded one counts only
	 * if the run succeeded and the task waits for a VM: if the task was placed again, its
	 * new run may start at any moment.
	 */
	private void handleEnded(VmState vm, VmAnswer.Ended ended, Moment now) {
		vm.handledEnd = ended.number();
		TaskState task = this.tasks.apply(ended.task());
		if (task == null) {
			return;
		}
		JobState job = task.step.job;
		if (task.phase == TaskPhase.DONE) {
			if (job.unstored || job.storing) {
				acknowledgeOnceStored(vm, ended, job);
			}
			return;
		}
		boolean current = task.run == ended.run() && task.vm.equals(vm.id()) && task.phase.occupiesCapacity();
		boolean done = ended.reason() == VmAnswer.EndReason.DONE;
		if (!current && !(done && task.phase == TaskPhase.WAITING)) {
			if (done) {
				this.duplicateRuns.doneListed(task, vm, ended.run(), now);
			}
			return;
		}
		acknowledgeOnceStored(vm, ended, job);
		this.lifecycle.runEnded(task, vm, ended, now);
	}

	private static void acknowledgeOnceStored(VmState vm, VmAnswer.Ended ended, JobState job) {
		long boot = vm.registration.boot();
		vm.unstoredEnds.add(ended.number());
		job.afterStore.add(() -> {
			if (vm.registration.boot() == boot) {
				vm.unstoredEnds.remove(ended.number());
			}
		});
		job.unstored = true;
	}

	private void handleRunning(VmState vm, VmAnswer.Running running, Moment now) {
		TaskState task = this.tasks.apply(running.task());
		boolean expected = task != null && task.run == running.run() && task.vm.equals(vm.id())
				&& task.phase.occupiesCapacity();
		if (!expected) {
			String key = runKey(running.task(), running.run());
			boolean first = !vm.orphanedRuns.containsKey(key);
			OrphanedRun orphan = new OrphanedRun(running.task(), running.run(),
					(task != null) ? task.needs() : Resources.NONE,
					first ? now.monotonicMs() : vm.orphanedRuns.get(key).listedSince(), 0);
			vm.orphanedRuns.put(key, orphan);
			if (task != null) {
				this.duplicateRuns.orphanListed(task, vm, orphan, now);
			}
			if (first && endsWithItsGang(task, running)) {
				return;
			}
			if (first) {
				this.outbox.note(running.task().job(), "Stopping an orphaned run",
						running.task() + " run " + running.run() + " on " + vm.id() + " is not the recorded run");
			}
			this.outbox.add(new Effect.Stop(vm.registration, running.task(), running.run()));
			return;
		}
		this.lifecycle.runListed(task, running, now);
	}

	/**
	 * Whether a run belongs to a gang of which another member has just been reported as
	 * successful. The members end together, so this one needs no stop unless it is listed
	 * again.
	 */
	private static boolean endsWithItsGang(TaskState task, VmAnswer.Running running) {
		return task != null && task.step.spec.gang() && task.phase == TaskPhase.DONE && task.run == running.run();
	}

	/**
	 * Handles a recorded run that is in neither list. It has ended or never began, unless
	 * it can still start, or the VM is stopping it and does not list it meanwhile. A
	 * start or stop by an earlier coordinator came before the VM's first answer to this
	 * one.
	 */
	private void handleMissing(VmState vm, TaskState task, long sentAt, Moment now) {
		if (task.ruledOutFrom > 0 && task.ruledOutFrom <= sentAt) {
			this.lifecycle.runLost(task,
					(task.stopCause == RunEndCause.VM_CRASHED) ? task.stopCause : RunEndCause.VM_LOST,
					RunOver.of(task, task.ruledOutBy, vm.answeredAt, now),
					task.inherited ? "the VM does not run what an earlier coordinator placed"
							: "the VM has confirmed that the run will not start",
					now);
		}
		else if (task.inherited) {
			this.lifecycle.startRuledOut(task, RunOverEvidence.NOT_LISTED, now);
		}
	}

	private static String runKey(TaskId task, long run) {
		return task + "#" + run;
	}

}
