package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.Resources;

/**
 * One job as known to the coordinator. Owned by one {@link ClusterScheduler}.
 */
final class JobState {

	final BatchJob spec;

	final List<StepState> steps = new ArrayList<>();

	/**
	 * The critical path of one occurrence, by the estimates of its steps, in
	 * milliseconds.
	 */
	final long criticalPathMs;

	/** The pool of VMs that may run the job; empty until its queue is known. */
	String pool = "";

	/** The priority of its queue; 0 is the most urgent. */
	int priority = Integer.MAX_VALUE;

	/**
	 * The time objective: from acceptance, or from the due time of an occurrence, to
	 * completion, in milliseconds.
	 */
	long objectiveMs = Long.MAX_VALUE / 8;

	/** The number of failed runs of one task at which the job fails. */
	int maxAttempts = Integer.MAX_VALUE;

	JobPhase phase = JobPhase.QUEUED;

	/** The revision of the stored progress, 0 for none. */
	long revision;

	/**
	 * Whether the progress has to be written: it changed, or the last write was not
	 * confirmed.
	 */
	boolean unstored;

	/** Whether a write of the progress is in flight. */
	boolean storing;

	/** The actions to run once the progress is stored. */
	List<Runnable> afterStore = new ArrayList<>();

	/** When the job ended, in monotonic milliseconds. */
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

	/**
	 * Whether the job runs until it is cancelled, at least some of its tasks.
	 */
	boolean longRunning() {
		return this.spec.steps().stream().anyMatch((step) -> step.shape().longRunning());
	}

	boolean started() {
		return this.steps.stream().anyMatch((step) -> !step.neverPlaced());
	}

	boolean occupiesCapacity() {
		return this.steps.stream()
			.flatMap((step) -> step.tasks.stream())
			.anyMatch((task) -> task.phase.occupiesCapacity());
	}

	/**
	 * Whether the job has ended and has no runs, all of which is stored.
	 */
	boolean endIsStored() {
		return this.phase.ended() && !this.unstored && !this.storing && !occupiesCapacity();
	}

	boolean allDone() {
		return this.steps.stream().allMatch(StepState::done);
	}

	/**
	 * Returns the accelerators of the largest step that is not done, 0 if all are done.
	 */
	long accelerators() {
		return this.steps.stream()
			.filter((step) -> !step.done())
			.mapToLong((step) -> step.spec.taskResources().accelerators() * step.spec.count())
			.max()
			.orElse(0);
	}

	/**
	 * Returns the remaining work, as the number of seconds for which it would occupy a
	 * whole VM.
	 * @param vm the capacity of the VM
	 */
	double remainingWork(Resources vm) {
		double seconds = 0;
		for (StepState step : this.steps) {
			long remaining = step.tasks.stream().filter((task) -> task.phase != TaskPhase.DONE).count();
			seconds += remaining * step.spec.taskResources().dominantShare(vm) * step.spec.estimateMs() / 1_000.0;
		}
		return seconds;
	}

	/**
	 * Returns the critical path through the steps of an occurrence that are not done, in
	 * milliseconds.
	 */
	long remainingCriticalPathMs(int occurrence) {
		long[] ends = new long[this.spec.steps().size()];
		long longest = 0;
		for (int number = 0; number < ends.length; number++) {
			long begin = 0;
			for (int predecessor : this.spec.steps().get(number).after()) {
				begin = Math.max(begin, ends[predecessor]);
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
