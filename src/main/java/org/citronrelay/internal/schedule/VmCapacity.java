package org.citronrelay.internal.schedule;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.citronrelay.internal.batch.Resources;

/**
 * The capacity of one VM during a placement round.
 */
final class VmCapacity {

	/**
	 * How long a guarded task waits for a VM without other unproven runs, in
	 * milliseconds.
	 */
	private static final long GUARD_PATIENCE_MS = 1_500;

	/**
	 * How long a guarded run keeps others from starting beside it at most, in
	 * milliseconds. Its probation can last as long as a run did before a crash, which is
	 * without a bound for a long-running task.
	 */
	private static final long MAX_EXCLUSION_MS = 5_000;

	/**
	 * How long an isolated task that has an end keeps others from starting beside it at
	 * most, in milliseconds. A run may take hours.
	 */
	private static final long MAX_ISOLATION_MS = 30_000;

	/**
	 * How long an isolated task waits for a VM of which others keep away, in
	 * milliseconds.
	 */
	private static final long ISOLATION_PATIENCE_MS = 15_000;

	final VmState vm;

	private final long now;

	/** The jobs with runs on probation. */
	private final Set<JobState> unproven = new HashSet<>();

	/** The jobs with runs of tasks that may have crashed a VM before. */
	private final Set<JobState> suspected = new HashSet<>();

	/** The one of them that keeps others away, null if there is none. */
	private JobState guarded;

	/** The job with an isolated task for which the VM is kept free, null for none. */
	private JobState heldFor;

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

	/**
	 * Creates the capacity of a VM.
	 * @param now the current time in monotonic milliseconds
	 */
	VmCapacity(VmState vm, long now) {
		this.vm = vm;
		this.now = now;
		vm.tasks.forEach((task) -> added(task, task.provenAt(vm.answeredAt)));
		this.free = vm.free();
		this.freeSoon = this.free;
		for (TaskState task : vm.tasks) {
			if (task.phase == TaskPhase.STOPPING) {
				this.freeSoon = this.freeSoon.plus(task.needs());
			}
		}
		for (OrphanedRun orphaned : vm.orphanedRuns.values()) {
			this.freeSoon = this.freeSoon.plus(orphaned.capacity());
		}
	}

	/**
	 * Records a task that was placed here in this round.
	 */
	void placed(TaskState task) {
		added(task, false);
	}

	private void added(TaskState task, boolean proven) {
		if (!proven) {
			this.unproven.add(task.step.job);
		}
		if (task.suspected()) {
			this.suspected.add(task.step.job);
		}
		if (task.guarded() && (!proven || task.isolated()) && this.now - task.placedAt < exclusionMs(task)) {
			this.guarded = task.step.job;
		}
	}

	private static long exclusionMs(TaskState task) {
		return (task.isolated() && !task.step.spec.shape().longRunning()) ? MAX_ISOLATION_MS : MAX_EXCLUSION_MS;
	}

	/**
	 * Keeps other jobs from starting tasks here in this round.
	 */
	void holdFor(JobState job) {
		this.heldFor = job;
	}

	/**
	 * Returns when an isolated task could start here if nothing else does, in monotonic
	 * milliseconds, {@link Long#MAX_VALUE} for never.
	 */
	long readyFor(TaskState task) {
		if (keepsAway(task) || task.waitsForOtherThan(this.vm.id(), this.now)) {
			return Long.MAX_VALUE;
		}
		long readyAt = fitsAt(task.needs(), Resources.NONE, this.now);
		for (TaskState other : this.vm.tasks) {
			if (other.step.job != task.step.job) {
				readyAt = Math.max(readyAt,
						other.suspected() ? other.expectedEnd(this.now) : other.provenFrom(this.now));
			}
		}
		return readyAt;
	}

	/**
	 * Whether the VM is kept free for another job, or a run of it keeps others away.
	 */
	private boolean keepsAway(TaskState task) {
		return (this.heldFor != null && this.heldFor != task.step.job)
				|| (this.guarded != null && this.guarded != task.step.job);
	}

	/**
	 * Returns the capacity that will be free once all runs have ended that have an end.
	 */
	Resources obtainable() {
		Resources obtainable = this.vm.registration.capacity();
		for (TaskState task : this.vm.tasks) {
			if (task.step.spec.shape().longRunning() && task.phase != TaskPhase.STOPPING) {
				obtainable = obtainable.minus(task.needs());
			}
		}
		return obtainable;
	}

	/**
	 * Whether a task may start here: not while it waits for another VM, not beside the
	 * guarded run of another job and, if it is guarded itself, not beside unproven runs
	 * of others while it can wait for a better VM.
	 */
	boolean admits(TaskState task) {
		if (task.waitsForOtherThan(this.vm.id(), this.now) || keepsAway(task)) {
			return false;
		}
		boolean alone = onlyOf(task.step.job, this.unproven)
				&& (!task.isolated() || onlyOf(task.step.job, this.suspected));
		return alone || !task.guarded() || !waitsForQuietVm(task, this.now);
	}

	/**
	 * Whether a suspect still waits for a VM without unproven runs of others.
	 * @param now the current time in monotonic milliseconds
	 */
	static boolean waitsForQuietVm(TaskState task, long now) {
		long patienceMs = task.isolated() ? ISOLATION_PATIENCE_MS : GUARD_PATIENCE_MS;
		long waitingSince = Math.max(task.step.waitingSince, task.endedEarlyAt);
		return waitingSince == 0 || now - waitingSince < patienceMs;
	}

	private static boolean onlyOf(JobState job, Set<JobState> jobs) {
		return jobs.isEmpty() || jobs.equals(Set.of(job));
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
