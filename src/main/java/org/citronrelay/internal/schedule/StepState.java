package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.internal.batch.Step;

/**
 * One step of one occurrence of a job, as known to the coordinator. Owned by one
 * {@link ClusterScheduler}.
 */
final class StepState {

	/**
	 * The share of the work since the last checkpoint that counts as lost when a run that
	 * saves checkpoints is stopped.
	 */
	static final double LOSS_AFTER_CHECKPOINTED_STOP = 0.1;

	final JobState job;

	final int occurrence;

	final int number;

	final Step spec;

	final List<TaskState> tasks = new ArrayList<>();

	/** The newest run of a gang that was counted as failed; each run counts once. */
	long lastFailedRun;

	/**
	 * The time since which tasks of the step have waited for capacity, in monotonic
	 * milliseconds; 0 while none waits.
	 */
	long waitingSince;

	/**
	 * The ids of the VMs that are being emptied for waiting tasks of the step, one entry
	 * a task; empty if the step has no claim to capacity.
	 */
	List<String> claimedVms = List.of();

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
	 * Whether the step may run: its occurrence is due and the steps that it depends on
	 * are done.
	 */
	boolean due(Moment now) {
		return now.wallMs() >= this.job.spec.repeat().dueAt(this.occurrence) && this.spec.after()
			.stream()
			.allMatch((predecessor) -> this.job.step(this.occurrence, predecessor).done());
	}

	/**
	 * Returns the tasks that wait for a VM; for a gang all members or none.
	 */
	List<TaskState> waitingTasks() {
		List<TaskState> waiting = this.tasks.stream().filter((task) -> task.phase == TaskPhase.WAITING).toList();
		return (this.spec.gang() && waiting.size() < this.tasks.size()) ? List.of() : waiting;
	}

	/**
	 * Returns the number of the next run of a task, or of all members of a gang.
	 */
	long nextRunNumber(TaskState task) {
		if (!this.spec.gang()) {
			return task.run + 1;
		}
		return 1 + this.tasks.stream().mapToLong((member) -> member.run).max().orElse(0);
	}

	/**
	 * Returns the checkpoint from which a run resumes, empty for none. The members of a
	 * gang share one.
	 */
	String checkpoint(TaskState task) {
		return this.spec.gang() ? this.tasks.getFirst().checkpoint : task.checkpoint;
	}

	void recordCheckpoint(TaskState task, String checkpoint) {
		TaskState owner = this.spec.gang() ? this.tasks.getFirst() : task;
		owner.checkpoint = checkpoint;
	}

}
