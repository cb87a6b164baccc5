package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.Resources;

/**
 * One job as the coordinator knows it. Owned by one {@link JobBook}.
 */
final class JobState {

	final BatchJob spec;

	final List<StepState> steps = new ArrayList<>();

	/** The longest chain of estimates of one occurrence, in milliseconds. */
	final long criticalPathMs;

	/** The pool of VMs that may run it; empty until its queue is known. */
	String pool = "";

	/** The priority of its queue. */
	int priority = Integer.MAX_VALUE;

	/** How long it may take to be in time, in milliseconds. */
	long targetMs = Long.MAX_VALUE / 8;

	/** How many runs of a task may fail. */
	int maxAttempts = Integer.MAX_VALUE;

	JobPhase phase = JobPhase.QUEUED;

	/** The revision of the stored progress, 0 for none. */
	long revision;

	/** Whether the progress differs from what is stored. */
	boolean unstored;

	/** Whether a write of the progress is under way. */
	boolean storing;

	/** What to do once the progress is stored. */
	List<Runnable> afterStore = new ArrayList<>();

	/** When the job ended, in ticks. */
	long endedAt;

	JobState(BatchJob spec) {
		this.spec = spec;
		for (int occurrence = 0; occurrence < spec.repeat().occurrences(); occurrence++) {
			for (int number = 0; number < spec.steps().size(); number++) {
				this.steps.add(new StepState(this, occurrence, number, spec.steps().get(number)));
			}
		}
		this.criticalPathMs = criticalPath();
	}

	String id() {
		return this.spec.id();
	}

	StepState step(int occurrence, int number) {
		return this.steps.get(occurrence * this.spec.steps().size() + number);
	}

	boolean started() {
		return this.steps.stream().anyMatch((step) -> !step.neverPlaced());
	}

	boolean occupiesCapacity() {
		return this.steps.stream()
			.flatMap((step) -> step.tasks.stream())
			.anyMatch((task) -> task.phase.occupiesCapacity());
	}

	boolean allDone() {
		return this.steps.stream().allMatch(StepState::done);
	}

	/**
	 * The accelerators of all tasks that have not ended.
	 */
	long accelerators() {
		return this.steps.stream()
			.filter((step) -> !step.done())
			.mapToLong((step) -> step.spec.each().accelerators() * step.spec.count())
			.max()
			.orElse(0);
	}

	/**
	 * The work still to do, in seconds of a whole VM.
	 */
	double remainingWork(Resources vm) {
		double work = 0;
		for (StepState step : this.steps) {
			long open = step.tasks.stream().filter((task) -> task.phase != TaskPhase.DONE).count();
			work += open * step.spec.each().dominantShare(vm) * step.spec.estimateMs() / 1_000.0;
		}
		return work;
	}

	/**
	 * The longest chain of estimates among the steps of an occurrence that are not done.
	 */
	long remainingCriticalPathMs(int occurrence) {
		long[] ends = new long[this.spec.steps().size()];
		long longest = 0;
		for (int number = 0; number < ends.length; number++) {
			long begin = 0;
			for (int before : this.spec.steps().get(number).after()) {
				begin = Math.max(begin, ends[before]);
			}
			ends[number] = begin + (step(occurrence, number).done() ? 0 : this.spec.steps().get(number).estimateMs());
			longest = Math.max(longest, ends[number]);
		}
		return longest;
	}

	private long criticalPath() {
		return this.steps.isEmpty() ? 0 : remainingCriticalPathMs(0);
	}

}
