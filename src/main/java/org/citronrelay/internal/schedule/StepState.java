package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.internal.batch.Step;

/**
 * One step of one occurrence of a job. Owned by one {@link JobBook}.
 */
final class StepState {

	/** The share of the work since the last save that a stop which saves still costs. */
	static final double LOSS_AFTER_CHECKPOINTED_STOP = 0.1;

	final JobState job;

	final int occurrence;

	final int number;

	final Step spec;

	final List<TaskState> tasks = new ArrayList<>();

	/** The newest run of a gang that was counted as failed. */
	long lastFailedRun;

	/** Since when tasks of the step wait for room, in ticks; 0 while none does. */
	long waitingSince;

	StepState(JobState job, int occurrence, int number, Step spec) {
		this.job = job;
		this.occurrence = occurrence;
		this.number = number;
		this.spec = spec;
		for (int index = 0; index < spec.count(); index++) {
			this.tasks.add(new TaskState(this, index));
		}
	}

	boolean done() {
		return this.tasks.stream().allMatch((task) -> task.phase == TaskPhase.DONE);
	}

	boolean neverPlaced() {
		return this.tasks.stream().allMatch((task) -> task.phase == TaskPhase.WAITING && task.run == 0);
	}

	/**
	 * Whether the step may run: it is due and the steps before it are done.
	 */
	boolean due(Moment now) {
		return now.wallMs() >= this.job.spec.repeat().dueAt(this.occurrence)
				&& this.spec.after().stream().allMatch((before) -> this.job.step(this.occurrence, before).done());
	}

	/**
	 * The tasks that wait for a VM; for a gang all members or none.
	 */
	List<TaskState> waitingTasks() {
		List<TaskState> waiting = this.tasks.stream().filter((task) -> task.phase == TaskPhase.WAITING).toList();
		return (this.spec.gang() && waiting.size() < this.tasks.size()) ? List.of() : waiting;
	}

	/**
	 * The number that the next run of a task, or of the whole gang, gets.
	 */
	long nextRunNumber(TaskState task) {
		if (!this.spec.gang()) {
			return task.run + 1;
		}
		return 1 + this.tasks.stream().mapToLong((member) -> member.run).max().orElse(0);
	}

	/**
	 * Where a run is to go on from; the members of a gang share one checkpoint.
	 */
	String checkpoint(TaskState task) {
		return this.spec.gang() ? this.tasks.getFirst().checkpoint : task.checkpoint;
	}

	void recordCheckpoint(TaskState task, String checkpoint) {
		TaskState keeper = this.spec.gang() ? this.tasks.getFirst() : task;
		keeper.checkpoint = checkpoint;
	}

}
