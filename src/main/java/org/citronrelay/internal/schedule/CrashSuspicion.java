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
 *
 * <p>
 * A task may also crash its VMs late, or at another age each time, so that younger runs
 * are always there. After two crashes it is therefore isolated: a VM is kept free for it,
 * and nothing else starts there while it runs.
 */
final class CrashSuspicion {

	/**
	 * How long a run has to last before it counts as proven on its VM, in milliseconds.
	 * Tasks that crash their VM do so soon after their start.
	 */
	private static final long PROBATION_MS = 1_000;

	/**
	 * The age of a run up to which its start is the likely cause of a crash, in
	 * milliseconds.
	 */
	private static final long START_MS = 250;

	/**
	 * How much the ages of runs differ that crash their VMs for the same cause, in ms.
	 */
	private static final long AGE_TOLERANCE_MS = 500;

	/** The crashes right after its start after which a task is given up. */
	private static final int CRASHES_AT_START = 3;

	/** The crashes at one later age after which a task is given up. */
	private static final int CRASHES_AT_ONE_AGE = 4;

	/**
	 * The crashes after which weaker evidence is enough, as the platform allows no
	 * further start of a culprit.
	 */
	private static final int MOST_CRASHES = 5;

	/**
	 * The same for a gang, which is also started again if a VM of another member crashes.
	 */
	private static final int MOST_CRASHES_OF_A_GANG = 4;

	/** How many of these have to agree, in their age or in leaving no other suspect. */
	private static final int AGREEING_CRASHES = 3;

	/** The crashes after which a task is isolated, however little they say about it. */
	private static final int CRASHES_TO_ISOLATE = 2;

	private CrashSuspicion() {
	}

	/**
	 * Whether a task is started under guard.
	 */
	static boolean guarded(List<VmCrash> crashes) {
		return isolated(crashes)
				|| crashes.stream().anyMatch((crash) -> crash.suspicious() || crash.evidence() == Evidence.UNCONFIRMED);
	}

	/**
	 * Whether a task was there when a VM crashed, and no other task explains that.
	 */
	static boolean suspected(List<VmCrash> crashes) {
		return unexplained(crashes) > 0;
	}

	/**
	 * Whether a task is kept apart from others as long as it runs.
	 */
	static boolean isolated(List<VmCrash> crashes) {
		return unexplained(crashes) >= CRASHES_TO_ISOLATE;
	}

	private static long unexplained(List<VmCrash> crashes) {
		return crashes.stream().filter((crash) -> crash.evidence() != Evidence.EXPLAINED).count();
	}

	/**
	 * Whether a task is given up, so that its job fails. VMs also crash for other causes,
	 * at any age of a run; crashes at one age speak against the task, if there was no
	 * other suspect in some of them.
	 * @param gang whether the task is a member of a gang
	 */
	static boolean conclusive(List<VmCrash> crashes, boolean gang) {
		List<VmCrash> suspected = crashes.stream().filter(VmCrash::suspicious).toList();
		if (crashes.size() >= (gang ? MOST_CRASHES_OF_A_GANG : MOST_CRASHES)
				&& (alone(suspected) >= AGREEING_CRASHES || suspected.stream()
					.anyMatch((crash) -> sameAge(suspected, crash, true).size() >= AGREEING_CRASHES))) {
			return true;
		}
		List<VmCrash> atStart = suspected.stream()
			.filter((crash) -> crash.ageMs() != SuspectRun.UNKNOWN && crash.ageMs() <= START_MS)
			.toList();
		List<VmCrash> dated = crashes.stream().filter((crash) -> crash.ageMs() != SuspectRun.UNKNOWN).toList();
		return (atStart.size() >= CRASHES_AT_START && alone(atStart) > 0) || dated.stream().anyMatch((crash) -> {
			List<VmCrash> sameAge = sameAge(dated, crash, false);
			return sameAge.size() >= CRASHES_AT_ONE_AGE && alone(sameAge) > 1;
		});
	}

	/**
	 * Returns the crashes at the age of one crash or a little later.
	 * @param orUnknown whether to include those at an unknown age
	 */
	private static List<VmCrash> sameAge(List<VmCrash> crashes, VmCrash earliest, boolean orUnknown) {
		return crashes.stream()
			.filter((crash) -> (crash.ageMs() == SuspectRun.UNKNOWN) ? orUnknown
					: crash.ageMs() >= earliest.ageMs() && crash.ageMs() - earliest.ageMs() <= AGE_TOLERANCE_MS)
			.toList();
	}

	private static long alone(List<VmCrash> crashes) {
		return crashes.stream().filter((crash) -> crash.evidence() == Evidence.ONLY_SUSPECT).count();
	}

	/**
	 * Returns how long a run of a task is on probation, in milliseconds. A suspect has to
	 * outlast the crashes before; after a single crash no longer than any other run.
	 */
	static long probationMs(List<VmCrash> crashes) {
		if (crashes.isEmpty()) {
			return PROBATION_MS;
		}
		long longest = crashes.stream()
			.filter(VmCrash::suspicious)
			.mapToLong(VmCrash::ageMs)
			.max()
			.orElse(PROBATION_MS);
		return (crashes.size() > 1) ? longest + AGE_TOLERANCE_MS : Math.min(PROBATION_MS, longest + AGE_TOLERANCE_MS);
	}

}
