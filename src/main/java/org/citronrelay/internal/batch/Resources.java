package org.citronrelay.internal.batch;

/**
 * An amount of each resource that a VM has and a task needs.
 *
 * @param cpuMillis processor time, in thousandths of a core
 * @param memoryMb memory, in MB
 * @param accelerators whole accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long accelerators) {

	/** Nothing of any resource. */
	public static final Resources NONE = new Resources(0, 0, 0);

	private static final double CORES_PER_ACCELERATOR = 8;

	private static final double MILLIS_PER_CORE = 1_000;

	/**
	 * The sum of two amounts.
	 */
	public Resources plus(Resources other) {
		return new Resources(this.cpuMillis + other.cpuMillis, this.memoryMb + other.memoryMb,
				this.accelerators + other.accelerators);
	}

	/**
	 * What is left after taking an amount away; a member may become negative.
	 */
	public Resources minus(Resources other) {
		return new Resources(this.cpuMillis - other.cpuMillis, this.memoryMb - other.memoryMb,
				this.accelerators - other.accelerators);
	}

	/**
	 * This amount a number of times.
	 */
	public Resources times(long count) {
		return new Resources(this.cpuMillis * count, this.memoryMb * count, this.accelerators * count);
	}

	/**
	 * Whether this amount can be taken from a room.
	 */
	public boolean fits(Resources room) {
		return this.cpuMillis <= room.cpuMillis && this.memoryMb <= room.memoryMb
				&& this.accelerators <= room.accelerators;
	}

	/**
	 * The amount as a number of cores, an accelerator counted as eight.
	 */
	public double coreEquivalents() {
		return this.cpuMillis / MILLIS_PER_CORE + CORES_PER_ACCELERATOR * this.accelerators;
	}

	/**
	 * The largest share that this amount takes of any resource of a room.
	 */
	public double dominantShare(Resources room) {
		return Math.max(share(this.cpuMillis, room.cpuMillis),
				Math.max(share(this.memoryMb, room.memoryMb), share(this.accelerators, room.accelerators)));
	}

	private static double share(long part, long whole) {
		return (whole > 0) ? (double) part / whole : 0;
	}

}
