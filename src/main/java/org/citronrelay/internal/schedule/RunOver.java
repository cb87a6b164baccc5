package org.citronrelay.internal.schedule;

import java.util.Objects;

/**
 * A run that counts as over, and the evidence of it.
 *
 * @param run the number of the run
 * @param vm the id of its VM
 * @param boot the boot of the VM; with {@link RunOverEvidence#INSTANCE_GONE} it may be
 * the later one, which has confirmed that it does not run it
 * @param evidence on what evidence it counts as over
 * @param establishedAt since when it counts as over, in monotonic milliseconds; 0 if
 * unknown
 * @param answeredAt when the VM had last answered by then, in monotonic milliseconds; 0
 * if it never did
 */
public record RunOver(long run, String vm, long boot, RunOverEvidence evidence, long establishedAt, long answeredAt) {

	/** A duration of which this coordinator does not know the beginning. */
	public static final long UNKNOWN = -1;

	public RunOver {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(evidence, "evidence");
	}

	/**
	 * Returns the present run of a task, which counts as over from now on.
	 * @param answeredAt when the VM last answered, in monotonic milliseconds
	 */
	static RunOver of(TaskState task, RunOverEvidence evidence, long answeredAt, Moment now) {
		return new RunOver(task.run, task.vm, task.boot, evidence, now.monotonicMs(), answeredAt);
	}

	/**
	 * Returns a run of which this coordinator has no evidence.
	 */
	static RunOver unestablished(long run, String vm, long boot, RunOverEvidence evidence) {
		return new RunOver(run, vm, boot, evidence, 0, 0);
	}

	/**
	 * Returns how long the run has counted as over, in milliseconds; {@link #UNKNOWN} if
	 * this coordinator did not establish it.
	 */
	long ageMs(Moment now) {
		return (this.establishedAt > 0) ? now.monotonicMs() - this.establishedAt : UNKNOWN;
	}

	/**
	 * Returns how long the VM had not answered when the run began to count as over, in
	 * milliseconds; {@link #UNKNOWN} if it had not answered this coordinator.
	 */
	public long silentMs() {
		return (this.establishedAt > 0 && this.answeredAt > 0) ? this.establishedAt - this.answeredAt : UNKNOWN;
	}

}
