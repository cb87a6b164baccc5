package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.citronrelay.internal.batch.Resources;

/**
 * Chooses the starts to withdraw from a VM that has become too small for them, that has
 * stopped to answer, or that answers but does not start them.
 *
 * <p>
 * Load pattern: the capacity of a VM shrinks, or the VM is lost, between the placement of
 * a task and its start, or before the command is repeated; or start commands get no
 * answer and have no effect. Runs that have started go on, and so do those of an earlier
 * coordinator, which may have; runs that are being stopped still take their room.
 */
final class StartWithdrawal {

	/**
	 * How long a VM that answers renewals may take to start a task, in times without
	 * progress after which a run is stopped. A command without an answer may still take
	 * effect after some seconds.
	 */
	private static final int START_PATIENCE = 2;

	private StartWithdrawal() {
	}

	/**
	 * Returns the tasks that a silent VM was not told to start. No lease covers them, so
	 * that they would wait for the VM to return.
	 */
	static List<TaskState> unstarted(VmState vm) {
		return vm.unanswered ? vm.tasks.stream().filter((task) -> !task.mayHaveStarted()).toList() : List.of();
	}

	/**
	 * Returns the tasks that the VM was told to start and has not listed for a long time.
	 * @param stallMs the time without progress after which a run is stopped, in
	 * milliseconds
	 */
	static List<TaskState> unconfirmed(VmState vm, long stallMs, Moment now) {
		if (!vm.reachable()) {
			return List.of();
		}
		return vm.tasks.stream()
			.filter((task) -> task.phase == TaskPhase.PLACED && task.startIssuedAt > 0
					&& now.monotonicMs() - task.placedAt > START_PATIENCE * stallMs)
			.toList();
	}

	/**
	 * Returns the placed tasks, newest first, without which the rest fits; all of them if
	 * the rest does not fit even then.
	 */
	static List<TaskState> excess(VmState vm) {
		Resources free = vm.free();
		if (Resources.NONE.fits(free)) {
			return List.of();
		}
		List<TaskState> placed = vm.tasks.stream()
			.filter((task) -> task.phase == TaskPhase.PLACED && !task.inherited)
			.sorted(Comparator.comparingLong((TaskState task) -> task.placedAt).reversed())
			.toList();
		List<TaskState> excess = new ArrayList<>();
		for (TaskState task : placed) {
			if (Resources.NONE.fits(free)) {
				break;
			}
			excess.add(task);
			free = free.plus(task.needs());
		}
		return excess;
	}

}
