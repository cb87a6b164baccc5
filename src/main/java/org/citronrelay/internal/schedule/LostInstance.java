package org.citronrelay.internal.schedule;

import java.util.List;
import java.util.OptionalLong;

/**
 * An instance of a VM that is known to be gone, with all that ran on it.
 *
 * @param vm the id of the VM
 * @param evidence how it became known
 * @param answeredAt when the instance last answered, in monotonic milliseconds; 0 if it
 * never did
 * @param failedAt when it first did not answer or, if that was not seen, was known to be
 * gone, in monotonic milliseconds
 * @param announced whether it had announced its shutdown, so that it did not crash
 * @param runs the runs that are recorded for it
 * @param lapsedRuns earlier runs that counted as ended when its lease had lapsed
 * @param askedAt when the instance that has taken its place was asked for its runs, in
 * monotonic milliseconds; 0 if it has not listed all of them yet
 * @param successor the boot that has taken its place under the same id and may still
 * receive start commands for these runs; empty if there is none
 */
record LostInstance(String vm, String evidence, long answeredAt, long failedAt, boolean announced, List<TaskState> runs,
		List<SuspectRun> lapsedRuns, long askedAt, OptionalLong successor) {

	LostInstance {
		runs = List.copyOf(runs);
		lapsedRuns = List.copyOf(lapsedRuns);
	}

	/**
	 * Returns an instance whose address another VM has taken.
	 */
	static LostInstance replaced(VmState vm, String evidence, Moment now) {
		return of(vm, evidence, List.copyOf(vm.tasks), vm.lapsedRuns, now.monotonicMs(), OptionalLong.empty(), now);
	}

	/**
	 * Returns the instance before a restart.
	 * @param runs its runs that the new instance does not list
	 * @param boot the boot of the new instance
	 * @param askedAt when it was asked for its runs, in monotonic milliseconds
	 */
	static LostInstance restarted(VmState vm, List<TaskState> runs, long boot, long askedAt, Moment now) {
		List<SuspectRun> lapsedRuns = vm.lapsedRuns.stream().filter((run) -> run.boot() != boot).toList();
		return of(vm, "the VM has restarted", runs, lapsedRuns, askedAt, OptionalLong.of(boot), now);
	}

	private static LostInstance of(VmState vm, String evidence, List<TaskState> runs, List<SuspectRun> lapsedRuns,
			long askedAt, OptionalLong successor, Moment now) {
		return new LostInstance(vm.id(), evidence, vm.answeredAt,
				(vm.silentSince > 0) ? vm.silentSince : now.monotonicMs(), vm.registration.draining(), runs, lapsedRuns,
				askedAt, successor);
	}

}
