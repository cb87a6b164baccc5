package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.citronrelay.internal.batch.Resources;

/**
 * Keeps room for work that waits and is too large for what is free: small tasks that come
 * later would otherwise take each VM as soon as a part of it is free, and a gang would
 * never start.
 */
final class RoomKeeper {

	/**
	 * The share of the VMs that may be kept at a time: kept room lies idle until it is
	 * whole.
	 */
	private static final double MOST_KEPT = 0.15;

	private final long now;

	private final int most;

	private int kept;

	/**
	 * A keeper for one round of placing.
	 * @param vms how many VMs there are
	 * @param now the present time in ticks
	 */
	RoomKeeper(int vms, long now) {
		this.now = now;
		this.most = (int) (MOST_KEPT * vms);
	}

	/**
	 * Keeps the room that will be free soonest: for the first that asks in any case, for
	 * others as far as not too much is kept already.
	 * @param tasks the tasks that need room at the same time
	 * @param groups the groups of VMs of which one has to hold all tasks
	 */
	void keep(StepState step, List<TaskState> tasks, Collection<List<Room>> groups) {
		if (this.kept > 0 && this.kept + tasks.size() > this.most) {
			return;
		}
		List<Room> best = List.of();
		long soonest = Long.MAX_VALUE;
		for (List<Room> group : groups) {
			List<Room> chosen = new ArrayList<>();
			long ready = choose(step, tasks, group, chosen);
			if (ready < soonest) {
				soonest = ready;
				best = chosen;
			}
		}
		best.forEach((room) -> room.keep(step.spec.each()));
		this.kept += best.size();
	}

	/**
	 * Chooses a VM for each task, and tells when the last of them has room.
	 */
	private long choose(StepState step, List<TaskState> tasks, List<Room> group, List<Room> chosen) {
		Map<Room, Resources> kept = new HashMap<>();
		Map<Room, Integer> taken = new HashMap<>();
		long ready = this.now;
		for (TaskState task : tasks) {
			Room best = null;
			long soonest = Long.MAX_VALUE;
			for (Room room : group) {
				if (!Placer.allowed(step, task, room, taken.computeIfAbsent(room, (key) -> Placer.placed(step, key)))) {
					continue;
				}
				long at = room.fitsAt(step.spec.each(), kept.getOrDefault(room, Resources.NONE), this.now);
				if (at < soonest) {
					soonest = at;
					best = room;
				}
			}
			if (best == null) {
				return Long.MAX_VALUE;
			}
			kept.merge(best, step.spec.each(), Resources::plus);
			taken.merge(best, 1, Integer::sum);
			chosen.add(best);
			ready = Math.max(ready, soonest);
		}
		return ready;
	}

}
