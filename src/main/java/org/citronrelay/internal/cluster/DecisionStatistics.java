package org.citronrelay.internal.cluster;

import org.citronrelay.internal.logging.Part;

/**
 * Measures how long the decision rounds of a coordinator take, and logs a summary at
 * intervals. Not thread-safe.
 */
final class DecisionStatistics {

	/** The time between two log lines, in milliseconds. */
	private static final long LOG_INTERVAL_MS = 5_000;

	private final ClusterMetrics metrics;

	private long logAt;

	private long rounds;

	private long totalMs;

	private long longestMs;

	private long longestGapMs;

	private long lastEndedAt;

	DecisionStatistics(ClusterMetrics metrics, long now) {
		this.metrics = metrics;
		this.logAt = now + LOG_INTERVAL_MS;
		this.lastEndedAt = now;
	}

	/**
	 * Records one round.
	 * @param began when it began, in monotonic milliseconds
	 * @param now when it ended, in monotonic milliseconds
	 */
	void recordRound(long began, long now) {
		this.metrics.recordDecision(now - began);
		this.rounds++;
		this.totalMs += now - began;
		this.longestMs = Math.max(this.longestMs, now - began);
		this.longestGapMs = Math.max(this.longestGapMs, began - this.lastEndedAt);
		this.lastEndedAt = now;
		if (now >= this.logAt) {
			log(now);
		}
	}

	private void log(long now) {
		Part.HOLDER.logger()
			.atInfo()
			.addKeyValue("rounds", this.rounds)
			.addKeyValue("totalMs", this.totalMs)
			.addKeyValue("longestMs", this.longestMs)
			.addKeyValue("longestGapMs", this.longestGapMs)
			.log("Summary of the decision rounds since the last summary.");
		this.logAt = now + LOG_INTERVAL_MS;
		this.rounds = 0;
		this.totalMs = 0;
		this.longestMs = 0;
		this.longestGapMs = 0;
	}

}
