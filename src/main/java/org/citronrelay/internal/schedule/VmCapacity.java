package org.citronrelay.internal.schedule;

import java.util.Comparator;
import java.util.List;

import org.citronrelay.internal.batch.Resources;

/**
 * The room of one VM while one round of placing goes on.
 */
final class VmCapacity {

	final VmState vm;

	/** What can be used now. */
	Resources free;

	/** What can be used once everything that is being stopped has ended. */
	Resources freeSoon;

	/** What lies idle because it is kept for work that waits. */
	Resources reserved = Resources.NONE;

	/** The runs that go on, the first to end first; computed when asked for. */
	private List<ExpectedEnd> expectedEnds;

	VmCapacity(VmState vm) {
		this.vm = vm;
		this.free = vm.free();
		this.freeSoon = this.free;
		for (TaskState task : vm.tasks) {
			if (task.phase == TaskPhase.STOPPING) {
				this.freeSoon = this.freeSoon.plus(task.needs());
			}
		}
		for (Resources stray : vm.orphanedRuns.values()) {
			this.freeSoon = this.freeSoon.plus(stray);
		}
	}

	/**
	 * When there will be room, if nothing else comes.
	 * @param beside what is kept here already
	 * @param now the present time in ticks
	 * @return a time in ticks, {@link Long#MAX_VALUE} for never
	 */
	long fitsAt(Resources needs, Resources beside, long now) {
		Resources space = this.freeSoon.minus(beside);
		if (needs.fits(space)) {
			return now;
		}
		for (ExpectedEnd ending : expectedEnds(now)) {
			space = space.plus(ending.freed());
			if (needs.fits(space)) {
				return ending.at();
			}
		}
		return Long.MAX_VALUE;
	}

	private List<ExpectedEnd> expectedEnds(long now) {
		if (this.expectedEnds == null) {
			this.expectedEnds = this.vm.tasks.stream()
				.filter((task) -> task.phase != TaskPhase.STOPPING)
				.map((task) -> new ExpectedEnd(task.expectedEnd(now), task.needs()))
				.sorted(Comparator.comparingLong(ExpectedEnd::at))
				.toList();
		}
		return this.expectedEnds;
	}

	String rack() {
		return this.vm.report.rack();
	}

	/**
	 * Keeps room that is free, or will be, from all that comes after.
	 */
	void reserve(Resources needs) {
		this.reserved = this.reserved.plus(needs);
		allocate(needs);
	}

	void allocate(Resources needs) {
		this.free = this.free.minus(needs);
		this.freeSoon = this.freeSoon.minus(needs);
	}

	/**
	 * A run that will end.
	 *
	 * @param at when, in ticks
	 * @param freed the room that it frees
	 */
	private record ExpectedEnd(long at, Resources freed) {
	}

}
