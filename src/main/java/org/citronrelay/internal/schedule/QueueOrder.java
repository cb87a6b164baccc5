package org.citronrelay.internal.schedule;

import java.util.Comparator;
import java.util.List;

/**
 * The order in which steps get VMs when there is not room for all.
 */
final class QueueOrder {

	/** How many times the objective a job may take before it counts as useless. */
	private static final double EXPIRY_FACTOR = 3;

	/** The share of an estimate that is believed; estimates are as often too long. */
	private static final double ESTIMATE_FACTOR = 0.7;

	private final Moment now;

	private final TeamGuarantees guarantees;

	QueueOrder(Moment now, TeamGuarantees guarantees) {
		this.now = now;
		this.guarantees = guarantees;
	}

	/**
	 * The most urgent first: what a team was promised, then what still matters, then by
	 * priority, then what must start soonest.
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

	private Urgency urgency(StepState step) {
		JobState job = step.job;
		long due = job.spec.repeat().dueAt(step.occurrence);
		long begin = (due > 0) ? due : job.spec.acceptedAtMs();
		long left = job.remainingCriticalPathMs(step.occurrence);
		long end = this.now.wallMs() + (long) (ESTIMATE_FACTOR * left);
		return new Urgency(step, this.guarantees.covers(job), end > begin + (long) (EXPIRY_FACTOR * job.targetMs),
				end > begin + job.targetMs, begin + job.targetMs - left);
	}

	/**
	 * How urgent a step is.
	 *
	 * @param step the step
	 * @param guaranteed whether its team is within what it was promised
	 * @param expired whether the job can no longer end in time to be of use
	 * @param late whether the job can no longer meet its objective
	 * @param latestStart when it should start at the latest, in milliseconds since 1970
	 */
	record Urgency(StepState step, boolean guaranteed, boolean expired, boolean late, long latestStart) {
	}

}
