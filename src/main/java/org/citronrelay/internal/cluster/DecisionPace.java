package org.citronrelay.internal.cluster;

import org.citronrelay.internal.logging.Part;

/**
 * How long a coordinator takes to decide, summed up in a log line from time to time.
 * Belongs to one thread.
 */
final class DecisionPace {

	/** The time between two log lines, in milliseconds. */
	private static final long REPORT_MS = 5_000;

	private final ClusterMetrics metrics;

	private long reportAt;

	private long rounds;

	private long totalMs;

	private long longestMs;

	private long longestGapMs;

	private long lastEndedAt;

	DecisionPace(ClusterMetrics metrics, long now) {
		this.metrics = metrics;
		this.reportAt = now + REPORT_MS;
		this.lastEndedAt = now;
	}

	/**
	 * Takes in one round.
	 * @param began when it began, in ticks
	 * @param now when it ended, in ticks
	 */
	void took(long began, long now) {
		this.metrics.decided(now - began);
		this.rounds++;
		this.totalMs += now - began;
		this.longestMs = Math.max(this.longestMs, now - began);
		this.longestGapMs = Math.max(this.longestGapMs, began - this.lastEndedAt);
		this.lastEndedAt = now;
		if (now >= this.reportAt) {
			report(now);
		}
	}

	private void report(long now) {
		Part.HOLDER.logger()
			.atInfo()
			.addKeyValue("rounds", this.rounds)
			.addKeyValue("totalMs", this.totalMs)
			.addKeyValue("longestMs", this.longestMs)
			.addKeyValue("longestGapMs", this.longestGapMs)
			.log("Decided.");
		this.reportAt = now + REPORT_MS;
		this.rounds = 0;
		this.totalMs = 0;
		this.longestMs = 0;
		this.longestGapMs = 0;
	}

}
