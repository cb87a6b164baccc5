package org.citronrelay;

import java.util.Objects;

/**
 * The resources that a gang needs: a number of members, each with adjacent accelerators
 * on one VM.
 *
 * <pre>
 * Shape shape = new Shape(2, 8, 64, 128, Spread.RACK);
 * </pre>
 *
 * @param members how many members run together, from 1 to 64
 * @param accelerators how many adjacent accelerators each member needs, from 0 to 64
 * @param cores how many processor cores each member needs, not negative
 * @param memoryGb how much memory each member needs, in gigabytes, not negative
 * @param spread how close the members must be
 */
public record Shape(int members, int accelerators, int cores, int memoryGb, Spread spread) {

	/** The most members of a gang. */
	public static final int MAX_MEMBERS = 64;

	/** The most accelerators of one member, which are all on one VM. */
	public static final int MAX_ACCELERATORS = 64;

	public Shape {
		if (members < 1 || members > MAX_MEMBERS) {
			throw new IllegalArgumentException("members " + members + " is not between 1 and " + MAX_MEMBERS);
		}
		if (accelerators < 0 || accelerators > MAX_ACCELERATORS) {
			throw new IllegalArgumentException(
					"accelerators " + accelerators + " is not between 0 and " + MAX_ACCELERATORS);
		}
		if (cores < 0 || memoryGb < 0) {
			throw new IllegalArgumentException("cores and memoryGb must not be negative");
		}
		Objects.requireNonNull(spread, "spread");
	}

	/**
	 * Returns the number of accelerators of all members together.
	 */
	public int totalAccelerators() {
		return this.members * this.accelerators;
	}

	@Override
	public String toString() {
		return this.members + "x" + this.accelerators + " accelerators, " + this.cores + " cores, " + this.memoryGb
				+ " GB each, in one " + this.spread.name().toLowerCase(java.util.Locale.ROOT);
	}

}
