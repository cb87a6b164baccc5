package org.citronrelay.internal.schedule;

import java.util.Objects;

/**
 * What is known of a run at a point in time.
 *
 * @param run the number of the run
 * @param vm the id of the VM that has it
 * @param boot the boot of the VM
 * @param phase the phase of its task, {@link #ORPHANED} or {@link #DONE}
 * @param knownForMs how long it has been known to be on the VM, in milliseconds
 * @param answerAgeMs how long ago the VM last answered, in milliseconds;
 * {@link RunOver#UNKNOWN} if it never did
 */
public record RunSighting(long run, String vm, long boot, String phase, long knownForMs, long answerAgeMs) {

	/** The phase of a run that a VM lists and that is not the recorded one. */
	static final String ORPHANED = "ORPHANED";

	/** The phase of a run that has succeeded and is not the recorded one. */
	static final String DONE = "DONE";

	public RunSighting {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(phase, "phase");
	}

	/**
	 * Returns the recorded run of a task.
	 */
	static RunSighting recorded(TaskState task, VmState vm, Moment now) {
		return new RunSighting(task.run, task.vm, task.boot, task.phase.name(), now.monotonicMs() - task.placedAt,
				answerAgeMs(vm, now));
	}

	/**
	 * Returns a run other than the recorded one.
	 * @param knownSince when the VM first listed it, in monotonic milliseconds
	 */
	static RunSighting unrecorded(long run, VmState vm, String phase, long knownSince, Moment now) {
		return new RunSighting(run, vm.id(), vm.registration.boot(), phase, now.monotonicMs() - knownSince,
				answerAgeMs(vm, now));
	}

	private static long answerAgeMs(VmState vm, Moment now) {
		return (vm.answeredAt > 0) ? now.monotonicMs() - vm.answeredAt : RunOver.UNKNOWN;
	}

	@Override
	public String toString() {
		return "run " + this.run + " on " + this.vm + ", boot " + this.boot + ", " + this.phase + ", known for "
				+ this.knownForMs + " ms, VM answered " + this.answerAgeMs + " ms ago";
	}

}
