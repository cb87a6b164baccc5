package org.citronrelay.internal.schedule;

import java.util.Comparator;
import java.util.List;

/**
 * The order in which steps get VMs when there is not enough capacity for all.
 */
final class QueueOrder {

	/** The multiple of its objective after which a job counts as expired. */
	private static final double EXPIRY_FACTOR = 3;

	/**
	 * The share of an estimate that is used to predict the end; estimates are often too
	 * long.
	 */
	private static final double ESTIMATE_FACTOR = 0.7;

	private final Moment now;

	private final TeamGuarantees guarantees;

	QueueOrder(Moment now, TeamGuarantees guarantees) {
		this.now = now;
		this.guarantees = guarantees;
	}

	/**
	 * Returns the steps with the most urgent first: those of jobs within the guarantee of
	 * their team, then those of jobs that have not expired, then by priority of the
	 * queue, then those of jobs that can meet their objective, then by the latest start.
	 */
	List<Urgency> rank(List<StepState> steps) {
		return steps.stream()
			.map(this::urgency)
			.sorted(Comparator.<Urgency, Boolean>comparing((urgency) -> !urgency.guaranteed())
				.thenComparing(Urgency::expired)
				.thenComparingInt((urgency) -> urgency.step().job.priority)
				.thenComparing(Urgency::late)
				.thenComparingLong(Urgency::latestStart))
			.toList();
	}

	/**
	 * Returns the urgency of a step. A long-running job has no end that could be late,
	 * however long it has run.
	 */
	private Urgency urgency(StepState step) {
		JobState job = step.job;
		long due = job.spec.repeat().dueAt(step.occurrence);
		long begin = (due > 0) ? due : job.spec.acceptedAtMs();
		long remainingMs = job.remainingCriticalPathMs(step.occurrence);
		long end = job.longRunning() ? Long.MIN_VALUE : this.now.wallMs() + (long) (ESTIMATE_FACTOR * remainingMs);
		return new Urgency(step, this.guarantees.covers(job), end > begin + (long) (EXPIRY_FACTOR * job.objectiveMs),
				end > begin + job.objectiveMs, begin + job.objectiveMs - remainingMs);
	}

	/**
	 * How urgent a step is.
	 *
	 * @param step the step
	 * @param guaranteed whether the urgent jobs of its team are within the team's
	 * guarantee, and its job is one of them
	 * @param expired whether the job is expected to end past three times its objective
	 * @param late whether the job is expected to miss its objective
	 * @param latestStart when it has to start to meet its objective, in milliseconds
	 * since 1970
	 */
	record Urgency(StepState step, boolean guaranteed, boolean expired, boolean late, long latestStart) {
	}

}
