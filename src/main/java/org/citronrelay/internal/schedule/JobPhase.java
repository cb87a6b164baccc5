package org.citronrelay.internal.schedule;

/**
 * What callers are told of a job.
 */
public enum JobPhase {

	/** No task has begun. */
	QUEUED,
	/** A task has begun. */
	RUNNING,
	/** All tasks have ended well. */
	COMPLETED,
	/** A task failed as often as its queue allows. */
	FAILED,
	/** The caller took it back. */
	CANCELLED;

	/**
	 * Whether nothing of the job starts any more.
	 */
	public boolean ended() {
		return this == COMPLETED || this == FAILED || this == CANCELLED;
	}

}
