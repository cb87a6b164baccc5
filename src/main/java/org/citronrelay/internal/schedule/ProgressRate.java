package org.citronrelay.internal.schedule;

/**
 * The rate at which a run makes progress, as a multiple of what its estimate predicts. It
 * is measured between two reports of its VM.
 */
final class ProgressRate {

	/** The least time between two reports from which a rate is taken, in milliseconds. */
	private static final long MIN_INTERVAL_MS = 300;

	private static final double ALL_PERCENT = 100;

	private long since;

	private int percent;

	/** The latest rate; negative before the first. */
	private double rate = -1;

	/** Whether the next report only tells from where the run goes on. */
	private boolean firstReportAwaited;

	/**
	 * Begins to measure a run that has just started its work.
	 * @param resumes whether it resumes from a percentage that is not known yet
	 * @param now the current time in monotonic milliseconds
	 */
	void begin(boolean resumes, long now) {
		this.rate = -1;
		this.percent = 0;
		this.since = now;
		this.firstReportAwaited = resumes;
	}

	/**
	 * Records a report.
	 * @return whether it yielded a new rate
	 */
	boolean report(int percentNow, long estimateMs, long now) {
		if (!this.firstReportAwaited && now - this.since < MIN_INTERVAL_MS) {
			return false;
		}
		boolean measured = !this.firstReportAwaited;
		if (measured) {
			this.rate = Math.max(0, percentNow - this.percent) / ALL_PERCENT * estimateMs / (now - this.since);
		}
		this.firstReportAwaited = false;
		this.percent = percentNow;
		this.since = now;
		return measured;
	}

	boolean known() {
		return this.rate >= 0;
	}

	double rate() {
		return this.rate;
	}

}
