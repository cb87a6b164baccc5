package org.citronrelay.internal.schedule;

import java.util.List;

/**
 * Decides which runs make no progress, so that they are stopped.
 */
final class StalledRuns {

	/**
	 * The share of the time that VMs let a gang member wait for the others, after which
	 * the coordinator stops the gang.
	 */
	private static final double GANG_WAIT_SHARE = 0.6;

	private static final int ALL_PERCENT = 100;

	/**
	 * The factor on the time without progress for runs that have reported all of their
	 * work: they have the most to lose, and percentages are rough.
	 */
	private static final int COMPLETE_RUN_PATIENCE = 3;

	private StalledRuns() {
	}

	/**
	 * Whether a gang member runs while others have not started, for so long that its VM
	 * would soon end it.
	 * @param gangWaitMs how long VMs let a member wait for the others, in milliseconds
	 */
	static boolean waitsForGangMembers(TaskState task, long gangWaitMs, Moment now) {
		return task.step.spec.gang() && task.phase == TaskPhase.RUNNING
				&& now.monotonicMs() - task.progressedAt > GANG_WAIT_SHARE * gangWaitMs
				&& task.step.tasks.stream().anyMatch((member) -> member.phase == TaskPhase.PLACED);
	}

	/**
	 * Whether a run makes no progress. The members of a gang end together, so one that
	 * has done all of its work waits for the others.
	 * @param stallMs the time without progress after which a run is stopped, in
	 * milliseconds
	 */
	static boolean stalled(TaskState task, VmState vm, long stallMs, Moment now) {
		StepState step = task.step;
		List<TaskState> members = step.spec.gang() ? step.tasks : List.of(task);
		if (step.spec.shape().longRunning() || now.monotonicMs() <= vm.answeredAt
				|| members.stream().anyMatch((member) -> member.phase != TaskPhase.RUNNING)) {
			return false;
		}
		long limitMs = stallMs + step.spec.estimateMs() / 10;
		if (task.percent < ALL_PERCENT) {
			return vm.answeredAt - task.progressedAt > limitMs;
		}
		long progressedAt = members.stream().mapToLong((member) -> member.progressedAt).max().orElse(0);
		return members.stream().allMatch((member) -> member.percent >= ALL_PERCENT)
				&& vm.answeredAt - progressedAt > COMPLETE_RUN_PATIENCE * limitMs;
	}

}
