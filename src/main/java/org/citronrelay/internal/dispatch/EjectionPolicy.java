package org.citronrelay.internal.dispatch;

/**
 * Decides when a failing worker is ejected and how it returns.
 *
 * <p>
 * A worker that fails every request immediately has little outstanding work and would
 * attract all requests. It is ejected when its smoothed share of failures is at least one
 * half and at least twice the mean of all workers, for a time that doubles with each
 * consecutive ejection. It returns on probation, with one request at a time. At most a
 * third of the workers are ejected at once, but one may be whenever there are at least
 * two.
 */
final class EjectionPolicy {

	private static final double SMOOTHING = 0.2;

	private static final int MIN_SAMPLES = 5;

	private static final double MIN_FAILURE_SHARE = 0.5;

	private static final double MIN_RATIO_TO_MEAN = 2.0;

	private static final long FIRST_EJECTION_MS = 2_000;

	private static final long MAX_EJECTION_MS = 60_000;

	private static final int PROBATION_SUCCESSES = 5;

	private static final int EJECTED_SHARE_DIVISOR = 3;

	private EjectionPolicy() {
	}

	/**
	 * Returns the health of a worker after a result.
	 * @param success whether the worker handled the request without a failure
	 * @param meanFailureShare the mean share of failures over all workers, including this
	 * one
	 * @param mayEject whether one more worker may be ejected
	 * @param now the current time, in monotonic milliseconds
	 */
	static Health after(Health before, boolean success, double meanFailureShare, boolean mayEject, long now) {
		if (before.ejectedAt(now)) {
			return before;
		}
		double share = before.failureShare() + SMOOTHING * ((success ? 0 : 1) - before.failureShare());
		int samples = Math.min(before.samples() + 1, Integer.MAX_VALUE - 1);
		if (before.probationRemaining() > 0) {
			return success ? recovering(before, share, samples) : ejected(before, share, now);
		}
		boolean failing = samples >= MIN_SAMPLES && share >= MIN_FAILURE_SHARE
				&& share >= MIN_RATIO_TO_MEAN * meanFailureShare;
		if (failing && mayEject) {
			return ejected(before, share, now);
		}
		return new Health(share, samples, before.ejections(), before.ejectedUntil(), 0);
	}

	/**
	 * Whether one more worker may be ejected.
	 * @param ejected the number of workers that are ejected
	 * @param workers the number of all workers
	 */
	static boolean mayEject(int ejected, int workers) {
		return ejected + 1 <= Math.max(1, workers / EJECTED_SHARE_DIVISOR) && workers > 1;
	}

	private static Health recovering(Health before, double share, int samples) {
		int remaining = before.probationRemaining() - 1;
		return (remaining > 0) ? new Health(share, samples, before.ejections(), before.ejectedUntil(), remaining)
				: new Health(0, 0, 0, Long.MIN_VALUE, 0);
	}

	private static Health ejected(Health before, double share, long now) {
		long durationMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS << Math.min(before.ejections(), 16));
		return new Health(share, 0, before.ejections() + 1, now + durationMs, PROBATION_SUCCESSES);
	}

}
