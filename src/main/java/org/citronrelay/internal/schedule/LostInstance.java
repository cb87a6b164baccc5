package org.citronrelay.internal.schedule;

import java.util.List;

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
 */
record LostInstance(String vm, String evidence, long answeredAt, long failedAt, boolean announced, List<TaskState> runs,
		List<SuspectRun> lapsedRuns) {

	LostInstance {
		runs = List.copyOf(runs);
		lapsedRuns = List.copyOf(lapsedRuns);
	}

	static LostInstance of(VmState vm, String evidence, List<TaskState> runs, Moment now) {
		return new LostInstance(vm.id(), evidence, vm.answeredAt,
				(vm.silentSince > 0) ? vm.silentSince : now.monotonicMs(), vm.registration.draining(), runs,
				vm.lapsedRuns);
	}

}
