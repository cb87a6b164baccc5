package org.citronrelay.internal.schedule;

import java.util.Comparator;
import java.util.Map;

import org.citronrelay.internal.batch.Queue;

/**
 * The order in which steps get VMs when there is not room for all.
 */
final class QueueOrder {

	/** How many times the objective a job may take before it counts as useless. */
	private static final double LATE_FACTOR = 3;

	/** The share of an estimate that is believed; estimates are as often too long. */
	private static final double BELIEVED = 0.7;

	private final Moment now;

	private final Map<String, Queue> queues;

	QueueOrder(Moment now, Map<String, Queue> queues) {
		this.now = now;
		this.queues = queues;
	}

	/**
	 * The most urgent first: what still matters, then by priority, then what must start
	 * soonest.
	 */
	Comparator<StepState> comparator() {
		return Comparator.comparing(this::hopeless)
			.thenComparingInt((step) -> step.job.priority)
			.thenComparing(this::late)
			.thenComparingLong(this::latestStart);
	}

	/**
	 * Whether the job can no longer end in time to be of use.
	 */
	private boolean hopeless(StepState step) {
		return believedEnd(step) > begin(step) + (long) (LATE_FACTOR * allowance(step));
	}

	private boolean late(StepState step) {
		return believedEnd(step) > begin(step) + allowance(step);
	}

	private long latestStart(StepState step) {
		return begin(step) + allowance(step) - step.job.chainLeftMs(step.occurrence);
	}

	private long believedEnd(StepState step) {
		return this.now.wallMs() + (long) (BELIEVED * step.job.chainLeftMs(step.occurrence));
	}

	private long begin(StepState step) {
		long due = step.job.spec.repeat().dueAt(step.occurrence);
		return (due > 0) ? due : step.job.spec.acceptedAtMs();
	}

	/**
	 * How long the job may take to be in time, in milliseconds.
	 */
	private long allowance(StepState step) {
		Queue queue = this.queues.get(step.job.spec.queue());
		return (queue != null) ? (long) (queue.slack() * step.job.chainMs) + queue.objectiveMs() : Long.MAX_VALUE / 8;
	}

}
