package org.citronrelay.internal.schedule;

/**
 * Decides when a run has to leave a VM that is about to shut down. Otherwise the run is
 * lost with the VM, and its task waits until the lease of the VM has lapsed.
 */
final class Evacuation {

	/**
	 * The time between a stop and the end of its run that commands, answers and the write
	 * of the checkpoint take, in milliseconds.
	 */
	private static final long COMMAND_MS = 400;

	/**
	 * A run without checkpoints moves only if it needs this many times the time that is
	 * left: VMs often stay longer than they announce.
	 */
	private static final int OVERRUN_FACTOR = 2;

	private Evacuation() {
	}

	/**
	 * Whether a run has to be stopped now.
	 * @param leavesAt the earliest time at which its VM shuts down, in monotonic
	 * milliseconds
	 * @param stopGraceMs how long a VM may take to stop a run, in milliseconds
	 * @param now the current time in monotonic milliseconds
	 */
	static boolean due(TaskState task, long leavesAt, long stopGraceMs, long now) {
		if (task.phase != TaskPhase.RUNNING) {
			return false;
		}
		long needed = task.expectedEnd(now) - now;
		long left = Math.max(0, leavesAt - now);
		if (needed <= left) {
			return false;
		}
		boolean losesNothing = task.step.spec.checkpoints() || task.step.spec.shape().longRunning();
		return losesNothing ? left <= stopGraceMs + COMMAND_MS : needed > OVERRUN_FACTOR * left;
	}

}
