package org.citronrelay.internal.dispatch;

/**
 * Decides when a worker that fails loses its traffic, and how it gets it back.
 *
 * <p>
 * A worker that fails everything at once looks idle and would draw all requests. It is
 * ejected when its smoothed share of failures is far above that of its peers, for a time
 * that doubles with each ejection in a row. It returns on probation, with one request at
 * a time. At most a third of the workers is ejected at once.
 */
final class EjectionPolicy {

	private static final double SMOOTHING = 0.2;

	private static final int LEAST_SAMPLES = 5;

	private static final double LEAST_FAILURE_SHARE = 0.5;

	private static final double FACTOR_OVER_PEERS = 2.0;

	private static final long FIRST_EJECTION_MS = 2_000;

	private static final long LONGEST_EJECTION_MS = 60_000;

	private static final int PROBATION_ANSWERS = 5;

	private static final int EJECTED_SHARE_DIVISOR = 3;

	private EjectionPolicy() {
	}

	/**
	 * The health after an answer.
	 * @param peersFailureShare the mean share of failures of the other workers
	 * @param mayEject whether one more worker may be ejected
	 */
	static Health after(Health before, boolean good, double peersFailureShare, boolean mayEject, long now) {
		if (before.ejectedAt(now)) {
			return before;
		}
		double share = before.failureShare() + SMOOTHING * ((good ? 0 : 1) - before.failureShare());
		int samples = Math.min(before.samples() + 1, Integer.MAX_VALUE - 1);
		if (before.probation() > 0) {
			return good ? recovering(before, share, samples) : ejected(before, share, now);
		}
		boolean bad = samples >= LEAST_SAMPLES && share >= LEAST_FAILURE_SHARE
				&& share >= FACTOR_OVER_PEERS * peersFailureShare;
		if (bad && mayEject) {
			return ejected(before, share, now);
		}
		return new Health(share, samples, before.ejections(), before.ejectedUntil(), 0);
	}

	/**
	 * Whether one more of the workers may be ejected.
	 */
	static boolean mayEject(int ejected, int workers) {
		return ejected + 1 <= Math.max(1, workers / EJECTED_SHARE_DIVISOR) && workers > 1;
	}

	private static Health recovering(Health before, double share, int samples) {
		int owed = before.probation() - 1;
		return (owed > 0) ? new Health(share, samples, before.ejections(), before.ejectedUntil(), owed)
				: new Health(0, 0, 0, Long.MIN_VALUE, 0);
	}

	private static Health ejected(Health before, double share, long now) {
		long length = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS << Math.min(before.ejections(), 16));
		return new Health(share, 0, before.ejections() + 1, now + length, PROBATION_ANSWERS);
	}

}
