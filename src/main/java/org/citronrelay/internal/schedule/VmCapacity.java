package org.citronrelay.internal.schedule;

import java.util.Comparator;
import java.util.List;

import org.citronrelay.internal.batch.Resources;

/**
 * The capacity of one VM during a placement round.
 */
final class VmCapacity {

	final VmState vm;

	/** The capacity that is free now. */
	Resources free;

	/** The capacity that is free once all runs that are being stopped have ended. */
	Resources freeSoon;

	/**
	 * The capacity that stays idle in this round as it is reserved for waiting work.
	 */
	Resources reserved = Resources.NONE;

	/** The runs that are not being stopped, by expected end; computed on first use. */
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
		for (Resources orphaned : vm.orphanedRuns.values()) {
			this.freeSoon = this.freeSoon.plus(orphaned);
		}
	}

	/**
	 * Returns when the needed resources will be free if nothing else is placed here.
	 * @param needs the needed resources
	 * @param alsoReserved capacity to leave out because the same request takes it
	 * @param now the current time in monotonic milliseconds
	 * @return a time in monotonic milliseconds, {@link Long#MAX_VALUE} for never
	 */
	long fitsAt(Resources needs, Resources alsoReserved, long now) {
		Resources available = this.freeSoon.minus(alsoReserved);
		if (needs.fits(available)) {
			return now;
		}
		for (ExpectedEnd end : expectedEnds(now)) {
			available = available.plus(end.freed());
			if (needs.fits(available)) {
				return end.at();
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
		return this.vm.registration.rack();
	}

	/**
	 * Reserves capacity that is free or will be, so that steps that are placed later in
	 * the round cannot take it.
	 */
	void reserve(Resources needs) {
		this.reserved = this.reserved.plus(needs);
		allocate(needs);
	}

	void allocate(Resources needs) {
		this.free = this.free.minus(needs);
		this.freeSoon = this.freeSoon.minus(needs);
	}

	void deallocate(Resources needs) {
		this.free = this.free.plus(needs);
		this.freeSoon = this.freeSoon.plus(needs);
	}

	/**
	 * The expected end of a run.
	 *
	 * @param at when the run is expected to end, in monotonic milliseconds
	 * @param freed the capacity that it frees
	 */
	private record ExpectedEnd(long at, Resources freed) {
	}

}
