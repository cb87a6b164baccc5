package org.citronrelay.internal.schedule;

import java.util.Comparator;

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
	Comparator<StepState> comparator() {
		return Comparator.<StepState, Boolean>comparing((step) -> !this.guarantees.covers(step.job))
			.thenComparing(this::useless)
			.thenComparingInt((step) -> step.job.priority)
			.thenComparing(this::late)
			.thenComparingLong(this::latestStart);
	}

	/**
	 * Whether the job can no longer end in time to be of use.
	 */
	boolean useless(StepState step) {
		return believedEnd(step) > begin(step) + (long) (LATE_FACTOR * step.job.allowanceMs);
	}

	/**
	 * Whether the job can no longer meet its objective.
	 */
	boolean late(StepState step) {
		return believedEnd(step) > begin(step) + step.job.allowanceMs;
	}

	private long latestStart(StepState step) {
		return begin(step) + step.job.allowanceMs - step.job.chainLeftMs(step.occurrence);
	}

	private long believedEnd(StepState step) {
		return this.now.wallMs() + (long) (BELIEVED * step.job.chainLeftMs(step.occurrence));
	}

	private static long begin(StepState step) {
		long due = step.job.spec.repeat().dueAt(step.occurrence);
		return (due > 0) ? due : step.job.spec.acceptedAtMs();
	}

}
