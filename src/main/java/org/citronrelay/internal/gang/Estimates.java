package org.citronrelay.internal.gang;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * How long jobs truly take against what was declared, learned for each team and kind.
 * Nothing that is promised rests on it.
 *
 * @param ratios the smoothed ratio of true to declared run time
 */
record Estimates(Map<String, Double> ratios) {

	static final Estimates NONE = new Estimates(HashMap.empty());

	private static final double SMOOTHING = 0.3;

	Estimates learned(JobRecord record, long tookMs) {
		double ratio = (double) tookMs / Math.max(1, record.spec().runMs());
		double before = this.ratios.getOrElse(key(record), ratio);
		return new Estimates(this.ratios.put(key(record), before + SMOOTHING * (ratio - before)));
	}

	/**
	 * The expected run time in milliseconds.
	 */
	long runMs(JobRecord record) {
		return (long) (record.spec().runMs() * this.ratios.getOrElse(key(record), 1.0));
	}

	/**
	 * When a job that runs since a time is expected to end. One that has outlived its
	 * estimate is expected to take as long again.
	 */
	long endsAt(JobRecord record, long startedAt, long now) {
		long expected = startedAt + runMs(record);
		return (expected > now) ? expected : now + (now - startedAt);
	}

	private static String key(JobRecord record) {
		return record.owner().teamId() + "/" + record.spec().kind();
	}

}
