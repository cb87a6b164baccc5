package org.citronrelay.internal.batch;

/**
 * An amount of each resource, as a VM offers or a task needs it.
 *
 * @param cpuMillis processor time, in thousandths of a core
 * @param memoryMb memory, in MB
 * @param accelerators number of accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long accelerators) {

	/** Zero of each resource. */
	public static final Resources NONE = new Resources(0, 0, 0);

	private static final double CORES_PER_ACCELERATOR = 8;

	private static final double MILLIS_PER_CORE = 1_000;

	/**
	 * Returns the sum of two amounts.
	 */
	public Resources plus(Resources other) {
		return new Resources(this.cpuMillis + other.cpuMillis, this.memoryMb + other.memoryMb,
				this.accelerators + other.accelerators);
	}

	/**
	 * Returns the difference of two amounts; components may be negative.
	 */
	public Resources minus(Resources other) {
		return new Resources(this.cpuMillis - other.cpuMillis, this.memoryMb - other.memoryMb,
				this.accelerators - other.accelerators);
	}

	/**
	 * Returns this amount multiplied by a count.
	 */
	public Resources times(long count) {
		return new Resources(this.cpuMillis * count, this.memoryMb * count, this.accelerators * count);
	}

	/**
	 * Returns the larger of two amounts, for each resource.
	 */
	public Resources max(Resources other) {
		return new Resources(Math.max(this.cpuMillis, other.cpuMillis), Math.max(this.memoryMb, other.memoryMb),
				Math.max(this.accelerators, other.accelerators));
	}

	/**
	 * Whether this amount is available in a capacity, for each resource.
	 */
	public boolean fits(Resources capacity) {
		return this.cpuMillis <= capacity.cpuMillis && this.memoryMb <= capacity.memoryMb
				&& this.accelerators <= capacity.accelerators;
	}

	/**
	 * Returns the amount as a number of cores, with an accelerator counted as eight
	 * cores.
	 */
	public double coreEquivalents() {
		return this.cpuMillis / MILLIS_PER_CORE + CORES_PER_ACCELERATOR * this.accelerators;
	}

	/**
	 * Returns the largest share that this amount takes of any resource of a capacity, 0
	 * for resources that the capacity lacks.
	 */
	public double dominantShare(Resources capacity) {
		return Math.max(share(this.cpuMillis, capacity.cpuMillis),
				Math.max(share(this.memoryMb, capacity.memoryMb), share(this.accelerators, capacity.accelerators)));
	}

	private static double share(long part, long total) {
		return (total > 0) ? (double) part / total : 0;
	}

}
