package org.citronrelay.internal.schedule;

import java.util.Comparator;
import java.util.List;

/**
 * The order in which steps get VMs when there is not room for all.
 */
final class QueueOrder {

	/** How many times the objective a job may take before it counts as useless. */
	private static final double LATE_FACTOR = 3;

	/** The share of an estimate that is believed; estimates are as often too long. */
	private static final double BELIEVED = 0.7;

	private final Moment now;

	private final Guarantees guarantees;

	QueueOrder(Moment now, Guarantees guarantees) {
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
			.sorted(Comparator.<Urgency, Boolean>comparing((urgency) -> !urgency.promised())
				.thenComparing(Urgency::useless)
				.thenComparingInt((urgency) -> urgency.step().job.priority)
				.thenComparing(Urgency::late)
				.thenComparingLong(Urgency::latestStart))
			.toList();
	}

	private Urgency urgency(StepState step) {
		JobState job = step.job;
		long due = job.spec.repeat().dueAt(step.occurrence);
		long begin = (due > 0) ? due : job.spec.acceptedAtMs();
		long left = job.chainLeftMs(step.occurrence);
		long end = this.now.wallMs() + (long) (BELIEVED * left);
		return new Urgency(step, this.guarantees.covers(job), end > begin + (long) (LATE_FACTOR * job.allowanceMs),
				end > begin + job.allowanceMs, begin + job.allowanceMs - left);
	}

	/**
	 * How urgent a step is.
	 *
	 * @param step the step
	 * @param promised whether its team is within what it was promised
	 * @param useless whether the job can no longer end in time to be of use
	 * @param late whether the job can no longer meet its objective
	 * @param latestStart when it should start at the latest, in milliseconds since 1970
	 */
	record Urgency(StepState step, boolean promised, boolean useless, boolean late, long latestStart) {
	}

}
