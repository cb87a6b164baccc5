package org.citronrelay.internal.schedule;

/**
 * The speed of a VM, as a share of what its tasks were expected to do, learned from the
 * progress of its runs. An observation loses its weight with time, so that a VM that got
 * no work because it was slow is tried again.
 */
final class VmSpeed {

	/** The weight of a new observation. */
	private static final double NEW_WEIGHT = 0.6;

	/**
	 * The speed below which a VM counts as slow: its tasks take more than twice as long,
	 * which no estimate of an objective allows for.
	 */
	private static final double SLOW = 0.5;

	/** How long an observation counts, in milliseconds. */
	private static final double MEMORY_MS = 4_000;

	private double speed = 1;

	private long observedAt;

	/**
	 * Records the speed of one run over some time.
	 * @param observed its progress, as a share of the expected one; more than 1 counts as
	 * 1
	 * @param now the current time in monotonic milliseconds
	 */
	void observe(double observed, long now) {
		this.speed = current(now) * (1 - NEW_WEIGHT) + Math.min(1, observed) * NEW_WEIGHT;
		this.observedAt = now;
	}

	/**
	 * Whether the VM is slow at present.
	 * @param now the current time in monotonic milliseconds
	 */
	boolean slow(long now) {
		return current(now) < SLOW;
	}

	private double current(long now) {
		return 1 - (1 - this.speed) * Math.exp(-(now - this.observedAt) / MEMORY_MS);
	}

}
