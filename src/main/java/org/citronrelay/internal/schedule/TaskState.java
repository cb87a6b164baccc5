package org.citronrelay.internal.schedule;

import java.util.HashSet;
import java.util.Set;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.TaskId;

/**
 * One task as the coordinator knows it. Owned by one {@link JobBook}.
 */
final class TaskState {

	private static final int ALL_PERCENT = 100;

	final StepState step;

	final int index;

	TaskPhase phase = TaskPhase.WAITING;

	/** The number of the newest run, 0 before the first. */
	long run;

	int failures;

	String checkpoint = "";

	/** Where the newest run is, empty for nowhere. */
	String vm = "";

	long boot;

	long placedAt;

	/** When an order for this run was last given, in ticks. */
	long orderedAt;

	/** Since when this run surely cannot begin any more, in ticks; 0 while it can. */
	long cannotStartSince;

	/** Whether an earlier coordinator gave the order for this run. */
	boolean inherited;

	/** Whether the record of this run is stored, so that it may be started. */
	boolean recorded;

	int percent;

	/** When the percentage last rose, in ticks. */
	long progressedAt;

	/** When the VM last saved progress of this run, in ticks. */
	long checkpointedAt;

	/** The VMs on which the task failed. */
	final Set<String> avoidedVms = new HashSet<>();

	TaskState(StepState step, int index) {
		this.step = step;
		this.index = index;
	}

	/**
	 * Whether the run may have begun on its VM.
	 */
	boolean mayHaveStarted() {
		return this.phase != TaskPhase.PLACED || this.orderedAt > 0 || this.inherited;
	}

	Resources needs() {
		return this.step.spec.each();
	}

	TaskId id() {
		return new TaskId(this.step.job.id(), this.step.occurrence, this.step.number, this.index);
	}

	/**
	 * When the run will have ended by what it was said to take, or by its progress once
	 * there is some.
	 * @param now the present time in ticks
	 */
	long expectedEnd(long now) {
		if (this.step.spec.shape().lasting()) {
			return Long.MAX_VALUE;
		}
		long left = (this.percent > 0) ? (now - this.placedAt) * (ALL_PERCENT - this.percent) / this.percent
				: this.step.spec.estimateMs() - (now - this.placedAt);
		return now + Math.max(0, left);
	}

	/**
	 * The work that would be lost if the run were stopped now, in core-seconds.
	 */
	double unsavedWork(long now) {
		if (!this.phase.occupiesCapacity()) {
			return 0;
		}
		long since = this.step.spec.checkpoints() ? Math.max(this.checkpointedAt, this.placedAt) : this.placedAt;
		double seconds = Math.max(0, now - since) / 1_000.0;
		return seconds * needs().coreEquivalents()
				* (this.step.spec.checkpoints() ? StepState.LOSS_AFTER_CHECKPOINTED_STOP : 1);
	}

}
