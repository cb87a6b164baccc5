package org.citronrelay.internal.schedule;

import java.util.List;

/**
 * Learns the speed of VMs from the progress of their runs. Estimates are often wrong, but
 * for all tasks of a step alike: so a run is compared with the fastest run of its step.
 */
final class SpeedObserver {

	/**
	 * The rate below which a run without comparable runs counts as slow; less would be
	 * explained by a wrong estimate.
	 */
	private static final double CERTAINLY_SLOW = 0.25;

	private static final int ALL_PERCENT = 100;

	private SpeedObserver() {
	}

	/**
	 * Begins to measure the runs of a step at the moment from which they make progress:
	 * members of a gang wait until all of them run.
	 */
	static void runStarted(TaskState task, long now) {
		List<TaskState> members = task.step.spec.gang() ? task.step.tasks : List.of(task);
		members.forEach(
				(member) -> member.progress.begin(member.inherited || !member.step.checkpoint(member).isEmpty(), now));
	}

	/**
	 * Applies a report of a run to the speed of its VM. A run that has reported all of
	 * its work may have waited since.
	 */
	static void progressReported(TaskState task, VmState vm, long now) {
		StepState step = task.step;
		String dataRack = step.spec.limits().dataRack();
		boolean farFromData = !dataRack.isEmpty() && !dataRack.equals(vm.registration.rack());
		boolean waits = step.spec.gang() && step.tasks.stream().anyMatch((member) -> member.phase != TaskPhase.RUNNING);
		if (waits || farFromData || step.spec.shape().longRunning() || task.percent >= ALL_PERCENT
				|| !task.progress.report(task.percent, step.spec.estimateMs(), now)) {
			return;
		}
		double fastest = step.tasks.stream()
			.filter((other) -> !other.vm.equals(task.vm) && other.phase == TaskPhase.RUNNING && other.progress.known())
			.mapToDouble((other) -> other.progress.rate())
			.max()
			.orElse(-1);
		double rate = task.progress.rate();
		if (fastest > 0) {
			vm.speed.observe(rate / fastest, now);
		}
		else if (rate < CERTAINLY_SLOW) {
			vm.speed.observe(rate, now);
		}
		else {
			vm.speed.observe(1, now);
		}
	}

}
