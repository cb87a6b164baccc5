package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.citronrelay.internal.batch.Resources;

/**
 * Keeps room for work that waits and is too large for what is free: small tasks that come
 * later would otherwise take each VM as soon as a part of it is free, and a gang would
 * never start.
 */
final class BackfillReservations {

	/**
	 * The share of the VMs that may be kept at a time: kept room lies idle until it is
	 * whole.
	 */
	private static final double MAX_RESERVED_SHARE = 0.15;

	private final long now;

	private final int maxReserved;

	private int reserved;

	/**
	 * A keeper for one round of placing.
	 * @param vms how many VMs there are
	 * @param now the present time in ticks
	 */
	BackfillReservations(int vms, long now) {
		this.now = now;
		this.maxReserved = (int) (MAX_RESERVED_SHARE * vms);
	}

	/**
	 * Keeps the room that will be free soonest: for the first that asks in any case, for
	 * others as far as not too much is kept already.
	 * @param tasks the tasks that need room at the same time
	 * @param groups the groups of VMs of which one has to hold all tasks
	 */
	void reserve(StepState step, List<TaskState> tasks, Collection<List<VmCapacity>> groups) {
		if (this.reserved > 0 && this.reserved + tasks.size() > this.maxReserved) {
			return;
		}
		List<VmCapacity> best = List.of();
		long soonest = Long.MAX_VALUE;
		for (List<VmCapacity> group : groups) {
			List<VmCapacity> chosen = new ArrayList<>();
			long ready = choose(step, tasks, group, chosen);
			if (ready < soonest) {
				soonest = ready;
				best = chosen;
			}
		}
		best.forEach((room) -> room.reserve(step.spec.each()));
		this.reserved += best.size();
	}

	/**
	 * Chooses a VM for each task, and tells when the last of them has room.
	 */
	private long choose(StepState step, List<TaskState> tasks, List<VmCapacity> group, List<VmCapacity> chosen) {
		Resources needs = step.spec.each();
		List<Candidate> candidates = new ArrayList<>();
		group.forEach((room) -> candidates.add(new Candidate(room, needs, this.now, TaskPlacer.placed(step, room))));
		long ready = this.now;
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
			ready = Math.max(ready, best.readyAt);
			best.reserve(needs, this.now);
		}
		return ready;
	}

	/**
	 * A VM on which room may be kept, and when the next task would fit there.
	 */
	private static final class Candidate {

		private final VmCapacity vmCapacity;

		private Resources reserved = Resources.NONE;

		private long readyAt;

		private int placed;

		Candidate(VmCapacity room, Resources needs, long now, int placed) {
			this.vmCapacity = room;
			this.placed = placed;
			this.readyAt = room.fitsAt(needs, this.reserved, now);
		}

		void reserve(Resources needs, long now) {
			this.reserved = this.reserved.plus(needs);
			this.placed++;
			this.readyAt = this.vmCapacity.fitsAt(needs, this.reserved, now);
		}

	}

}
