package org.citronrelay.internal.schedule;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.TaskId;

/**
 * Takes in what a VM lists, and compares it with what the coordinator believes.
 */
final class VmAnswerHandler {

	private final TaskLifecycle lifecycle;

	private final Outbox outbox;

	private final Function<TaskId, TaskState> tasks;

	VmAnswerHandler(TaskLifecycle lifecycle, Outbox outbox, Function<TaskId, TaskState> tasks) {
		this.lifecycle = lifecycle;
		this.outbox = outbox;
		this.tasks = tasks;
	}

	void handle(VmState vm, VmAnswer answer, Moment now) {
		long sentAt = vm.renewalSentAt;
		answer.ended()
			.stream()
			.filter((ended) -> ended.number() > vm.handledEnd)
			.sorted(Comparator.comparingLong(VmAnswer.Ended::number))
			.forEach((ended) -> handleEnded(vm, ended, now));
		Set<String> listed = new HashSet<>();
		for (VmAnswer.Running running : answer.running()) {
			listed.add(runKey(running.task(), running.run()));
			handleRunning(vm, running, now);
		}
		vm.orphanedRuns.keySet().retainAll(listed);
		for (TaskState task : List.copyOf(vm.tasks)) {
			if (!listed.contains(runKey(task.id(), task.run))) {
				handleMissing(task, sentAt, now);
			}
		}
	}

	/**
	 * An end of another run than the one that is recorded counts only if it is good and
	 * the task was not placed again since: a run that was may begin at any moment.
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
		if (!current && !(ended.how() == VmAnswer.How.DONE && task.phase == TaskPhase.WAITING)) {
			return;
		}
		acknowledgeOnceStored(vm, ended, job);
		this.lifecycle.runEnded(task, vm, ended, now);
	}

	private static void acknowledgeOnceStored(VmState vm, VmAnswer.Ended ended, JobState job) {
		vm.unstoredEnds.add(ended.number());
		job.afterStore.add(() -> vm.unstoredEnds.remove(ended.number()));
		job.unstored = true;
	}

	private void handleRunning(VmState vm, VmAnswer.Running running, Moment now) {
		TaskState task = this.tasks.apply(running.task());
		boolean wanted = task != null && task.run == running.run() && task.vm.equals(vm.id())
				&& task.phase.occupiesCapacity();
		if (!wanted) {
			Resources room = (task != null) ? task.needs() : Resources.NONE;
			if (vm.orphanedRuns.put(runKey(running.task(), running.run()), room) == null) {
				this.outbox.note(running.task().job(), "stray run stopped", running.task() + " run " + running.run()
						+ " on " + vm.id() + " is not the one that is recorded");
			}
			this.outbox.add(new Effect.Stop(vm.report, running.task(), running.run()));
			return;
		}
		this.lifecycle.runListed(task, running, now);
	}

	/**
	 * A run that is in neither list is not there. It cannot begin any more if the VM said
	 * so before it made these lists, or if the order came from an earlier coordinator.
	 */
	private void handleMissing(TaskState task, long sentAt, Moment now) {
		boolean barred = task.cannotStartSince > 0 && task.cannotStartSince <= sentAt;
		boolean inherited = task.inherited && task.phase != TaskPhase.RUNNING;
		if (barred || inherited) {
			this.lifecycle.runLost(task, now, barred ? "the VM will not begin it" : "the VM never began it");
		}
	}

	private static String runKey(TaskId task, long run) {
		return task + "#" + run;
	}

}
