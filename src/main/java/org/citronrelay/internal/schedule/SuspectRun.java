package org.citronrelay.internal.schedule;

/**
 * A run that was on a VM when the VM was last known to be alive.
 *
 * @param task the task
 * @param startedAt when the run was first known to run or, if that is not known, was
 * placed, in monotonic milliseconds; {@link #UNKNOWN} for a run of an earlier coordinator
 * that the VM has not listed to this one
 * @param unlikely whether the run is hardly the cause of a crash: it had outlasted its
 * probation, or was placed after the VM had stopped to answer
 */
record SuspectRun(TaskState task, long startedAt, boolean unlikely) {

	static final long UNKNOWN = -1;

	/**
	 * Returns the run of a task.
	 * @param answeredAt when its VM last answered, in monotonic milliseconds
	 * @param failedAt when its VM first did not answer since, in monotonic milliseconds
	 */
	static SuspectRun of(TaskState task, long answeredAt, long failedAt) {
		if (task.inherited) {
			return new SuspectRun(task, UNKNOWN, false);
		}
		boolean placedLater = task.startedAt == 0 && task.placedAt > failedAt;
		return new SuspectRun(task, (task.startedAt > 0) ? task.startedAt : task.placedAt,
				placedLater || task.provenAt(answeredAt));
	}

	/**
	 * Returns how old the run was at the time of a crash, in milliseconds,
	 * {@link #UNKNOWN} if its start is unknown.
	 */
	long ageAt(long crashedAt) {
		return (this.startedAt == UNKNOWN) ? UNKNOWN : Math.max(0, crashedAt - this.startedAt);
	}

}
