package org.citronrelay.internal.gang;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * Estimates the run time of jobs from earlier jobs of the same team and kind. Guarantees
 * never depend on these estimates.
 *
 * @param ratios the exponentially smoothed ratio of measured to declared run time, by
 * team id and job kind
 */
record RunTimeEstimates(Map<String, Double> ratios) {

	static final RunTimeEstimates NONE = new RunTimeEstimates(HashMap.empty());

	private static final double SMOOTHING_FACTOR = 0.3;

	/**
	 * Returns the estimates with the measured run time of one more job.
	 * @param record the job
	 * @param tookMs its measured run time in milliseconds
	 */
	RunTimeEstimates withObservation(JobRecord record, long tookMs) {
		double ratio = (double) tookMs / Math.max(1, record.spec().runMs());
		double previous = this.ratios.getOrElse(key(record), ratio);
		return new RunTimeEstimates(this.ratios.put(key(record), previous + SMOOTHING_FACTOR * (ratio - previous)));
	}

	/**
	 * Returns the expected run time of a job in milliseconds.
	 */
	long runMs(JobRecord record) {
		return (long) (record.spec().runMs() * this.ratios.getOrElse(key(record), 1.0));
	}

	/**
	 * Returns when a running job is expected to end, in monotonic milliseconds. A job
	 * that has exceeded its estimate is expected to run as long again as it has run so
	 * far.
	 */
	long expectedEnd(JobRecord record, long startedAt, long now) {
		long expected = startedAt + runMs(record);
		return (expected > now) ? expected : now + (now - startedAt);
	}

	private static String key(JobRecord record) {
		return record.owner().teamId() + "/" + record.spec().kind();
	}

}
