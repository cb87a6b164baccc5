package org.citronrelay.internal.schedule;

/**
 * A run that was on a VM when the VM was last known to be alive.
 *
 * @param task the task
 * @param startedAt when the run was first known to run or, if that is not known, was
 * placed, in monotonic milliseconds; {@link #UNKNOWN} for a run of an earlier coordinator
 * that the VM has not listed to this one
 * @param proven whether the run had outlasted its probation
 */
record SuspectRun(TaskState task, long startedAt, boolean proven) {

	static final long UNKNOWN = -1;

	static SuspectRun of(TaskState task, long answeredAt) {
		long startedAt = (task.startedAt > 0) ? task.startedAt : task.placedAt;
		return new SuspectRun(task, task.inherited ? UNKNOWN : startedAt, task.provenAt(answeredAt));
	}

	/**
	 * Returns how old the run was at the time of a crash, in milliseconds,
	 * {@link #UNKNOWN} if its start is unknown.
	 */
	long ageAt(long crashedAt) {
		return (this.startedAt == UNKNOWN) ? UNKNOWN : Math.max(0, crashedAt - this.startedAt);
	}

}
