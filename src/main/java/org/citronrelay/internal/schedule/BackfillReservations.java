package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.citronrelay.internal.batch.Resources;

/**
 * Reserves capacity for waiting steps that need more than is free. Otherwise small tasks
 * that arrive later would take each VM as soon as a part of it is free, and a gang would
 * never start.
 */
final class BackfillReservations {

	/**
	 * The share of the VMs that may be reserved at a time, as reserved capacity stays
	 * idle until the step that it is for can start.
	 */
	private static final double MAX_RESERVED_SHARE = 0.15;

	private final long now;

	private final int maxReserved;

	private int reserved;

	/**
	 * Creates the reservations of one placement round.
	 * @param vms the number of available VMs
	 * @param now the current time in monotonic milliseconds
	 */
	BackfillReservations(int vms, long now) {
		this.now = now;
		this.maxReserved = (int) (MAX_RESERVED_SHARE * vms);
	}

	/**
	 * Reserves the capacity that will be free earliest. The first request of a round is
	 * granted whatever its size, later ones only within the limit.
	 * @param tasks the tasks that need capacity at the same time
	 * @param groups the groups of VMs of which one has to hold all tasks
	 */
	void reserve(StepState step, List<TaskState> tasks, Collection<List<VmCapacity>> groups) {
		if (this.reserved > 0 && this.reserved + tasks.size() > this.maxReserved) {
			return;
		}
		List<VmCapacity> best = List.of();
		long earliest = Long.MAX_VALUE;
		for (List<VmCapacity> group : groups) {
			List<VmCapacity> chosen = new ArrayList<>();
			long readyAt = choose(step, tasks, group, chosen);
			if (readyAt < earliest) {
				earliest = readyAt;
				best = chosen;
			}
		}
		best.forEach((vmCapacity) -> vmCapacity.reserve(step.spec.taskResources()));
		this.reserved += best.size();
	}

	/**
	 * Chooses a VM for each task. Returns when all of them will have capacity, in
	 * monotonic milliseconds, {@link Long#MAX_VALUE} for never.
	 */
	private long choose(StepState step, List<TaskState> tasks, List<VmCapacity> group, List<VmCapacity> chosen) {
		Resources needs = step.spec.taskResources();
		List<Candidate> candidates = new ArrayList<>();
		group.forEach((vmCapacity) -> candidates
			.add(new Candidate(vmCapacity, needs, this.now, TaskPlacer.placedTasks(step, vmCapacity))));
		long readyAt = this.now;
		for (TaskState task : tasks) {
			Candidate best = null;
			for (Candidate candidate : candidates) {
				if (candidate.readyAt < ((best != null) ? best.readyAt : Long.MAX_VALUE)
						&& TaskPlacer.allowed(step, task, candidate.vmCapacity, candidate.placed)) {
					best = candidate;
				}
			}
			if (best == null) {
				return Long.MAX_VALUE;
			}
			chosen.add(best.vmCapacity);
			readyAt = Math.max(readyAt, best.readyAt);
			best.reserve(needs, this.now);
		}
		return readyAt;
	}

	/**
	 * A VM on which capacity may be reserved, and when the next task would fit there.
	 */
	private static final class Candidate {

		private final VmCapacity vmCapacity;

		private Resources reserved = Resources.NONE;

		private long readyAt;

		private int placed;

		Candidate(VmCapacity vmCapacity, Resources needs, long now, int placed) {
			this.vmCapacity = vmCapacity;
			this.placed = placed;
			this.readyAt = vmCapacity.fitsAt(needs, this.reserved, now);
		}

		void reserve(Resources needs, long now) {
			this.reserved = this.reserved.plus(needs);
			this.placed++;
			this.readyAt = this.vmCapacity.fitsAt(needs, this.reserved, now);
		}

	}

}
