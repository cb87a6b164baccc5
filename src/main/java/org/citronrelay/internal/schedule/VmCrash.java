package org.citronrelay.internal.schedule;

/**
 * A crash of a VM under a run of a task.
 *
 * @param vm the id of the VM
 * @param atWallMs when the crash was noticed, in milliseconds since 1970
 * @param ageMs how old the run was, in milliseconds; {@link SuspectRun#UNKNOWN} if its
 * start is unknown
 * @param evidence what the crash says about the task
 */
record VmCrash(String vm, long atWallMs, long ageMs, Evidence evidence) {

	/**
	 * Whether this and another record are of one crash.
	 */
	boolean sameAs(VmCrash other) {
		return this.vm.equals(other.vm) && this.atWallMs == other.atWallMs;
	}

	/**
	 * Returns the record of a crash for which another task was given up.
	 */
	VmCrash explained() {
		return new VmCrash(this.vm, this.atWallMs, this.ageMs, Evidence.EXPLAINED);
	}

	/**
	 * Whether the run may be the cause.
	 */
	boolean suspicious() {
		return this.evidence == Evidence.SUSPECT || this.evidence == Evidence.ONLY_SUSPECT;
	}

	/**
	 * Describes the age of the run, for logs.
	 */
	String age() {
		return (this.ageMs == SuspectRun.UNKNOWN) ? "at an unknown age" : "after " + this.ageMs + " ms";
	}

	@Override
	public String toString() {
		return this.vm + " at " + this.atWallMs + " " + age() + " (" + this.evidence + ")";
	}

	/**
	 * How strongly a crash speaks against a task. The first letter of its name is stored.
	 */
	enum Evidence {

		/**
		 * The start of the run was not answered, and the VM has answered nothing since
		 * the task was placed: it may have been down before.
		 */
		UNCONFIRMED,
		/** A task that was given up later is the cause. */
		EXPLAINED,
		/** Other runs are more likely the cause. */
		BYSTANDER,
		/** The task was one of several that may have caused the crash. */
		SUSPECT,
		/** No other task is likely to have caused the crash. */
		ONLY_SUSPECT

	}

}
