package org.citronrelay.internal.schedule;

/**
 * Why a run ended before its task was done, for logs and metrics.
 */
public enum RunEndCause {

	/** The job was cancelled at the request of its caller. */
	JOB_CANCELLED,
	/** A task of the job has used all its attempts. */
	JOB_FAILED,
	/** The run made room for more urgent work. */
	PREEMPTED,
	/** The VM was about to shut down. */
	EVACUATED,
	/** The run made no progress. */
	STALLED,
	/** Members of the gang did not start in time. */
	GANG_INCOMPLETE,
	/** Another member of the gang ended. */
	GANG_BROKEN,
	/** The capacity of the VM shrank before the run had started. */
	NO_CAPACITY,
	/** The VM refused to start the run. */
	REFUSED,
	/** The VM reported that the run failed. */
	FAILED,
	/** The lease of the VM lapsed. */
	LEASE_LAPSED,
	/** The VM crashed. */
	VM_CRASHED,
	/** The VM shut down, or never started the run. */
	VM_LOST,
	/** The VM ended the run, and the coordinator did not ask for it. */
	UNEXPECTED;

	/**
	 * Returns why the runs of a job that has ended are stopped.
	 */
	static RunEndCause of(JobPhase ended) {
		return (ended == JobPhase.FAILED) ? JOB_FAILED : JOB_CANCELLED;
	}

	/**
	 * Returns why a run ended, from what its VM reports.
	 * @param stopCause why the run was told to stop, null if it was not
	 */
	static RunEndCause of(VmAnswer.EndReason reported, RunEndCause stopCause) {
		return switch (reported) {
			case BROKEN -> GANG_BROKEN;
			case ALONE -> GANG_INCOMPLETE;
			case LAPSED -> LEASE_LAPSED;
			default -> (stopCause != null) ? stopCause : UNEXPECTED;
		};
	}

}
