package org.citronrelay.internal.schedule;

/**
 * How far a task has come.
 */
enum TaskPhase {

	/** Has no VM. */
	WAITING,
	/** Has a VM, which may or may not have begun it. */
	PLACED,
	/** Its VM said that it runs. */
	RUNNING,
	/** Its VM was told to stop it, and may still run it. */
	STOPPING,
	/** The run has ended; the gang's other members have not all ended yet. */
	ENDED,
	/** Has ended well. */
	DONE;

	/**
	 * Whether the task takes room on a VM.
	 */
	boolean occupiesCapacity() {
		return this == PLACED || this == RUNNING || this == STOPPING;
	}

}
