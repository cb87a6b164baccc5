package org.citronrelay.internal.placement;

/**
 * Operations on bit masks of the accelerators of one VM. A run is a sequence of adjacent
 * set bits.
 */
final class Masks {

	static final int NONE = -1;

	private Masks() {
	}

	/**
	 * Returns the mask of a run.
	 */
	static long run(int first, int length) {
		return lowBits(length) << first;
	}

	/**
	 * Returns a mask with the lowest bits set.
	 */
	static long lowBits(int length) {
		return (length >= Long.SIZE) ? -1L : (1L << length) - 1;
	}

	/**
	 * Returns the start of the shortest free run that is long enough, so that long runs
	 * are not split needlessly; {@link #NONE} if there is none.
	 */
	static int shortestRun(long free, int length) {
		int best = NONE;
		int bestLength = Integer.MAX_VALUE;
		long remaining = free;
		while (remaining != 0) {
			int start = Long.numberOfTrailingZeros(remaining);
			int run = Long.numberOfTrailingZeros(~(remaining >>> start));
			if (run >= length && run < bestLength) {
				best = start;
				bestLength = run;
			}
			remaining = (start + run >= Long.SIZE) ? 0 : remaining & (-1L << (start + run));
		}
		return best;
	}

	/**
	 * Returns the start of the run within {@code allowed} that covers the fewest
	 * accelerators of {@code occupied}; {@link #NONE} if there is none.
	 */
	static int cheapestRun(long allowed, long occupied, int length) {
		int best = NONE;
		int bestCost = Integer.MAX_VALUE;
		for (int start = 0; start + length <= Long.SIZE; start++) {
			long run = run(start, length);
			if ((allowed & run) != run) {
				continue;
			}
			int cost = Long.bitCount(occupied & run);
			if (cost < bestCost) {
				best = start;
				bestCost = cost;
			}
		}
		return best;
	}

	/**
	 * Returns how many disjoint runs of a length fit into the mask; the greatest integer
	 * for length 0.
	 */
	static int countRuns(long free, int length) {
		if (length == 0) {
			return Integer.MAX_VALUE;
		}
		int count = 0;
		long remaining = free;
		while (remaining != 0) {
			int start = Long.numberOfTrailingZeros(remaining);
			int run = Long.numberOfTrailingZeros(~(remaining >>> start));
			count += run / length;
			remaining = (start + run >= Long.SIZE) ? 0 : remaining & (-1L << (start + run));
		}
		return count;
	}

}
