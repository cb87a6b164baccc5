package org.citronrelay.internal.placement;

/**
 * Bit masks of the accelerators of one VM.
 */
final class Masks {

	static final int NONE = -1;

	private Masks() {
	}

	/**
	 * The mask of a run of accelerators.
	 */
	static long run(int first, int length) {
		return low(length) << first;
	}

	/**
	 * The mask of the first accelerators.
	 */
	static long low(int length) {
		return (length >= Long.SIZE) ? -1L : (1L << length) - 1;
	}

	/**
	 * The start of the shortest free run that is long enough, so that long runs stay
	 * whole; {@link #NONE} if there is none.
	 */
	static int bestRun(long free, int length) {
		int best = NONE;
		int bestLength = Integer.MAX_VALUE;
		long rest = free;
		while (rest != 0) {
			int start = Long.numberOfTrailingZeros(rest);
			int run = Long.numberOfTrailingZeros(~(rest >>> start));
			if (run >= length && run < bestLength) {
				best = start;
				bestLength = run;
			}
			rest = (start + run >= Long.SIZE) ? 0 : rest & (-1L << (start + run));
		}
		return best;
	}

	/**
	 * The start of the run within {@code allowed} that covers the fewest accelerators of
	 * {@code costly}; {@link #NONE} if there is none.
	 */
	static int cheapestRun(long allowed, long costly, int length) {
		int best = NONE;
		int bestCost = Integer.MAX_VALUE;
		for (int start = 0; start + length <= Long.SIZE; start++) {
			long run = run(start, length);
			if ((allowed & run) != run) {
				continue;
			}
			int cost = Long.bitCount(costly & run);
			if (cost < bestCost) {
				best = start;
				bestCost = cost;
			}
		}
		return best;
	}

	/**
	 * How many separate runs of a length fit into the mask.
	 */
	static int countRuns(long free, int length) {
		if (length == 0) {
			return Integer.MAX_VALUE;
		}
		int count = 0;
		long rest = free;
		while (rest != 0) {
			int start = Long.numberOfTrailingZeros(rest);
			int run = Long.numberOfTrailingZeros(~(rest >>> start));
			count += run / length;
			rest = (start + run >= Long.SIZE) ? 0 : rest & (-1L << (start + run));
		}
		return count;
	}

}
