package org.citronrelay.internal.schedule;

/**
 * The phase of a task. The first letter of its name is stored.
 */
enum TaskPhase {

	/** Waits for a VM. */
	WAITING,
	/** Is assigned to a VM, which may or may not have started it. */
	PLACED,
	/** Its VM has reported that it runs. */
	RUNNING,
	/** Its VM was told to stop it, and may still run it. */
	STOPPING,
	/**
	 * Its run has ended without success; other members of the gang have not ended yet.
	 */
	ENDED,
	/** Has succeeded. */
	DONE;

	/**
	 * Whether the task occupies capacity on a VM.
	 */
	boolean occupiesCapacity() {
		return this == PLACED || this == RUNNING || this == STOPPING;
	}

}
