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
final class AnswerIntake {

	private final Lifecycle lifecycle;

	private final Outbox outbox;

	private final Function<TaskId, TaskState> tasks;

	AnswerIntake(Lifecycle lifecycle, Outbox outbox, Function<TaskId, TaskState> tasks) {
		this.lifecycle = lifecycle;
		this.outbox = outbox;
		this.tasks = tasks;
	}

	void take(VmState vm, VmAnswer answer, Moment now) {
		long sentAt = vm.renewSentAt;
		answer.ended()
			.stream()
			.filter((ended) -> ended.number() > vm.seenEnd)
			.sorted(Comparator.comparingLong(VmAnswer.Ended::number))
			.forEach((ended) -> ended(vm, ended, now));
		Set<String> listed = new HashSet<>();
		for (VmAnswer.Running running : answer.running()) {
			listed.add(key(running.task(), running.run()));
			running(vm, running, now);
		}
		vm.strays.keySet().retainAll(listed);
		for (TaskState task : List.copyOf(vm.tasks)) {
			if (!listed.contains(key(task.id(), task.run))) {
				missing(task, sentAt, now);
			}
		}
	}

	/**
	 * An end of another run than the one that is recorded counts only if it is good and
	 * the task was not placed again since: a run that was may begin at any moment.
	 */
	private void ended(VmState vm, VmAnswer.Ended ended, Moment now) {
		vm.seenEnd = ended.number();
		TaskState task = this.tasks.apply(ended.task());
		if (task == null) {
			return;
		}
		JobState job = task.step.job;
		if (task.phase == TaskPhase.DONE) {
			if (job.unsaved || job.saving) {
				acknowledgeOnceStored(vm, ended, job);
			}
			return;
		}
		boolean current = task.run == ended.run() && task.vm.equals(vm.id()) && task.phase.takesRoom();
		if (!current && !(ended.how() == VmAnswer.How.DONE && task.phase == TaskPhase.WAITING)) {
			return;
		}
		acknowledgeOnceStored(vm, ended, job);
		this.lifecycle.ended(task, vm, ended, now);
	}

	private static void acknowledgeOnceStored(VmState vm, VmAnswer.Ended ended, JobState job) {
		vm.unstoredEnds.add(ended.number());
		job.afterSave.add(() -> vm.unstoredEnds.remove(ended.number()));
		job.unsaved = true;
	}

	private void running(VmState vm, VmAnswer.Running running, Moment now) {
		TaskState task = this.tasks.apply(running.task());
		boolean wanted = task != null && task.run == running.run() && task.vm.equals(vm.id()) && task.phase.takesRoom();
		if (!wanted) {
			Resources room = (task != null) ? task.needs() : Resources.NONE;
			if (vm.strays.put(key(running.task(), running.run()), room) == null) {
				this.outbox.note(running.task().job(), "stray run stopped", running.task() + " run " + running.run()
						+ " on " + vm.id() + " is not the one that is recorded");
			}
			this.outbox.add(new Effect.Stop(vm.report, running.task(), running.run()));
			return;
		}
		this.lifecycle.listed(task, running, now);
	}

	/**
	 * A run that is in neither list is not there. It cannot begin any more if the VM said
	 * so before it made these lists, or if the order came from an earlier coordinator.
	 */
	private void missing(TaskState task, long sentAt, Moment now) {
		boolean barred = task.barredAt > 0 && task.barredAt <= sentAt;
		boolean inherited = task.inherited && task.phase != TaskPhase.RUNNING;
		if (barred || inherited) {
			this.lifecycle.lost(task, now, barred ? "the VM will not begin it" : "the VM never began it");
		}
	}

	private static String key(TaskId task, long run) {
		return task + "#" + run;
	}

}
