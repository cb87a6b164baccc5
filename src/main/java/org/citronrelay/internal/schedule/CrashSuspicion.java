package org.citronrelay.internal.schedule;

import java.util.List;

import org.citronrelay.internal.schedule.VmCrash.Evidence;

/**
 * Decides how to treat a task under which VMs have crashed.
 *
 * <p>
 * Load pattern: a task crashes each VM that starts it, and its neighbours are lost with
 * the VM. A task that may be the cause is guarded: it starts beside proven runs only,
 * preferably alone, and nothing else starts beside it during its probation. The next
 * crash then speaks against this task alone, or the run survives.
 */
final class CrashSuspicion {

	/**
	 * How long a run has to last before it counts as proven on its VM, in milliseconds.
	 * Tasks that crash their VM do so soon after their start.
	 */
	private static final long PROBATION_MS = 2_000;

	/**
	 * The age of a run up to which its start is the likely cause of a crash, in
	 * milliseconds.
	 */
	private static final long START_MS = 250;

	/**
	 * How much the ages of runs differ that crash their VMs for the same cause, in ms.
	 */
	private static final long AGE_TOLERANCE_MS = 500;

	/** The crashes at one age after which a task is given up. */
	private static final int CRASHES_AT_ONE_AGE = 4;

	/**
	 * How many of them must have had no other suspect; as many right after the start of
	 * the task are enough.
	 */
	private static final int CRASHES_ALONE = 2;

	/**
	 * The crashes after which a task is given up whatever they say about it: the platform
	 * allows no further start.
	 */
	private static final int MOST_CRASHES = 5;

	private CrashSuspicion() {
	}

	/**
	 * Whether a task is started under guard.
	 */
	static boolean guarded(List<VmCrash> crashes) {
		return crashes.size() > 1 || crashes.stream().anyMatch((crash) -> crash.evidence() != Evidence.BYSTANDER);
	}

	/**
	 * Whether a task is given up, so that its job fails. VMs also crash for other causes,
	 * at any age of a run: only crashes at the same age, with no other suspect, speak
	 * against the task.
	 */
	static boolean conclusive(List<VmCrash> crashes) {
		if (crashes.size() >= MOST_CRASHES) {
			return true;
		}
		List<VmCrash> suspected = crashes.stream()
			.filter((crash) -> crash.evidence() != Evidence.BYSTANDER && crash.ageMs() != SuspectRun.UNKNOWN)
			.toList();
		return suspected.stream().anyMatch((crash) -> {
			List<VmCrash> sameAge = suspected.stream()
				.filter((other) -> other.ageMs() >= crash.ageMs() && other.ageMs() - crash.ageMs() <= AGE_TOLERANCE_MS)
				.toList();
			return sameAge.size() >= CRASHES_AT_ONE_AGE && countAlone(sameAge) >= CRASHES_ALONE;
		}) || countAlone(suspected.stream().filter((crash) -> crash.ageMs() <= START_MS).toList()) >= CRASHES_ALONE;
	}

	private static long countAlone(List<VmCrash> crashes) {
		return crashes.stream().filter((crash) -> crash.evidence() == Evidence.ONLY_SUSPECT).count();
	}

	/**
	 * Returns how long a run of a task is on probation, in milliseconds. After several
	 * crashes the run has to outlast all those before it, in case the task crashes its VM
	 * late.
	 */
	static long probationMs(List<VmCrash> crashes) {
		long longest = crashes.stream().mapToLong(VmCrash::ageMs).max().orElse(0);
		return (crashes.size() > 1) ? longest + PROBATION_MS : PROBATION_MS;
	}

}
