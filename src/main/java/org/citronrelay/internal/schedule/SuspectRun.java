package org.citronrelay.internal.schedule;

/**
 * A run that may have been on a VM when the VM went down.
 *
 * @param task the task
 * @param run the number of the run; the task may have a later one meanwhile
 * @param boot the boot of the VM that the run was assigned to
 * @param startedAt when the run was first known to run, in monotonic milliseconds;
 * {@link #UNKNOWN} if the VM has not confirmed it to this coordinator, so that it may
 * never have started
 * @param unlikely whether the run is hardly the cause of a crash, as it had outlasted its
 * probation
 * @param unconfirmed whether the VM may have been down before it was told to start the
 * run
 */
record SuspectRun(TaskState task, long run, long boot, long startedAt, boolean unlikely, boolean unconfirmed) {

	static final long UNKNOWN = -1;

	/**
	 * Returns the run of a task.
	 * @param answeredAt when its VM last answered, in monotonic milliseconds
	 */
	static SuspectRun of(TaskState task, long answeredAt) {
		boolean confirmed = task.startedAt > 0 && !task.inherited;
		return new SuspectRun(task, task.run, task.boot, confirmed ? task.startedAt : earliestStart(task, answeredAt),
				confirmed && task.provenAt(answeredAt), !task.vmConfirmedBy(answeredAt));
	}

	/**
	 * Returns when a run without a confirmed start may have started. The VM of a guarded
	 * task answers right before the start, so that the command has reached it.
	 */
	private static long earliestStart(TaskState task, long answeredAt) {
		boolean reached = task.guarded() && !task.inherited && task.vmConfirmedBy(answeredAt);
		return (reached && task.startIssuedAt > 0) ? task.startIssuedAt : UNKNOWN;
	}

	/**
	 * Whether the task was kept apart from others.
	 */
	boolean isolated() {
		return this.task.isolated();
	}

	/**
	 * Whether the run is known to have been told to start a short time before.
	 */
	boolean recent() {
		return this.unconfirmed || (this.startedAt != UNKNOWN && !this.unlikely);
	}

	/**
	 * Returns how old the run was at the time of a crash, in milliseconds,
	 * {@link #UNKNOWN} if its start is unknown or was answered later, so that it may have
	 * been on another instance.
	 */
	long ageAt(long crashedAt) {
		return (this.startedAt == UNKNOWN || this.startedAt > crashedAt) ? UNKNOWN : crashedAt - this.startedAt;
	}

}
