package org.citronrelay.internal.schedule;

/**
 * On what evidence a run counts as over, so that its task may be started again.
 */
public enum RunOverEvidence {

	/**
	 * The VM listed the end of the run, or of a member of its gang that ended with it.
	 */
	END_LISTED,
	/** The lease of the VM has lapsed. */
	LEASE_LAPSED,
	/**
	 * Another instance has answered in the place of the one that had the run, and does
	 * not run it.
	 */
	INSTANCE_GONE,
	/** The VM has accepted a stop, and later did not list the run. */
	STOP_CONFIRMED,
	/** The VM has refused to start the run, and later did not list it. */
	START_REFUSED,
	/** No start of the run was commanded. */
	NEVER_STARTED,
	/**
	 * The VM obeys this coordinator and does not list the run, which an earlier
	 * coordinator had placed.
	 */
	NOT_LISTED,
	/** An earlier coordinator had let the task wait; its log has the evidence. */
	EARLIER_COORDINATOR,
	/** Later runs of the task have followed; the log lines of their starts have it. */
	SUPERSEDED;

	/**
	 * Returns the evidence that an accepted stop gives.
	 * @param stopCause why the run was told to stop, null if an earlier coordinator
	 * stopped it
	 */
	static RunOverEvidence ofAcceptedStop(RunEndCause stopCause) {
		return switch (stopCause) {
			case REFUSED -> START_REFUSED;
			case VM_LOST, VM_CRASHED -> INSTANCE_GONE;
			case null, default -> STOP_CONFIRMED;
		};
	}

}
