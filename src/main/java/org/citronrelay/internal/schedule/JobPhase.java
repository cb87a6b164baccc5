package org.citronrelay.internal.schedule;

/**
 * The phase of a job as reported to callers.
 */
public enum JobPhase {

	/** No task has started. */
	QUEUED,
	/** A task has started. */
	RUNNING,
	/** All tasks have succeeded. */
	COMPLETED,
	/** A task has failed as often as the queue of the job allows. */
	FAILED,
	/** The caller cancelled the job. */
	CANCELLED;

	/**
	 * Whether the job has ended, so that no further task of it starts.
	 */
	public boolean ended() {
		return this == COMPLETED || this == FAILED || this == CANCELLED;
	}

}
