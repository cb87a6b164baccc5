package org.citronrelay.internal.schedule;

import java.util.Comparator;
import java.util.List;

import org.citronrelay.internal.batch.Resources;

/**
 * The room of one VM while one round of placing goes on.
 */
final class Room {

	final VmState vm;

	/** What can be used now. */
	Resources free;

	/** What can be used once everything that is being stopped has ended. */
	Resources soon;

	/** What lies idle because it is kept for work that waits. */
	Resources kept = Resources.NONE;

	/** The runs that go on, the first to end first; computed when asked for. */
	private List<Ending> endings;

	Room(VmState vm) {
		this.vm = vm;
		this.free = vm.free();
		this.soon = this.free;
		for (TaskState task : vm.tasks) {
			if (task.phase == TaskPhase.STOPPING) {
				this.soon = this.soon.plus(task.needs());
			}
		}
		for (Resources stray : vm.strays.values()) {
			this.soon = this.soon.plus(stray);
		}
	}

	/**
	 * When there will be room, if nothing else comes.
	 * @param beside what is kept here already
	 * @param now the present time in ticks
	 * @return a time in ticks, {@link Long#MAX_VALUE} for never
	 */
	long fitsAt(Resources needs, Resources beside, long now) {
		Resources space = this.soon.minus(beside);
		if (needs.fits(space)) {
			return now;
		}
		for (Ending ending : endings(now)) {
			space = space.plus(ending.frees());
			if (needs.fits(space)) {
				return ending.at();
			}
		}
		return Long.MAX_VALUE;
	}

	private List<Ending> endings(long now) {
		if (this.endings == null) {
			this.endings = this.vm.tasks.stream()
				.filter((task) -> task.phase != TaskPhase.STOPPING)
				.map((task) -> new Ending(task.expectedEnd(now), task.needs()))
				.sorted(Comparator.comparingLong(Ending::at))
				.toList();
		}
		return this.endings;
	}

	String rack() {
		return this.vm.report.rack();
	}

	/**
	 * Keeps room that is free, or will be, from all that comes after.
	 */
	void keep(Resources needs) {
		this.kept = this.kept.plus(needs);
		take(needs);
	}

	void take(Resources needs) {
		this.free = this.free.minus(needs);
		this.soon = this.soon.minus(needs);
	}

	/**
	 * A run that will end.
	 *
	 * @param at when, in ticks
	 * @param frees the room that it frees
	 */
	private record Ending(long at, Resources frees) {
	}

}
