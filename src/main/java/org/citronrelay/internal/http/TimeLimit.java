package org.citronrelay.internal.http;

/**
 * How long a call may take. A call that carries much is slow on a slow link without being
 * stuck, so a limit can grow with the bytes that the call has carried, and can bound the
 * time without any byte instead.
 *
 * @param answerMs the time until the answer begins, in milliseconds
 * @param silenceMs the longest time between two parts of an answer, in milliseconds
 * @param graceMsPerKb the time that each kB of the call and of its answer adds, in
 * milliseconds; 0 for a fixed limit
 */
public record TimeLimit(long answerMs, long silenceMs, long graceMsPerKb) {

	/** The slowest link on which a call is not taken for stuck, in kB a second. */
	private static final long SLOWEST_LINK_KB_PER_SECOND = 125;

	private static final long BYTES_PER_KB = 1_000;

	private static final long MILLIS_PER_SECOND = 1_000;

	/**
	 * Returns a fixed limit for a complete answer.
	 */
	public static TimeLimit total(long timeoutMs) {
		return new TimeLimit(timeoutMs, timeoutMs, 0);
	}

	/**
	 * Returns a limit for calls of any size: it bounds the time in which nothing is
	 * received, and grows with the bytes that are sent and received.
	 */
	public static TimeLimit ofSilence(long silenceMs) {
		return new TimeLimit(silenceMs, silenceMs, MILLIS_PER_SECOND / SLOWEST_LINK_KB_PER_SECOND);
	}

	/**
	 * Returns a copy that allows more time until the answer begins.
	 */
	public TimeLimit plusWait(long waitMs) {
		return new TimeLimit(this.answerMs + waitMs, this.silenceMs, this.graceMsPerKb);
	}

	/**
	 * Returns a copy for a call that is passed on by another process, which adds to each
	 * time without a byte.
	 */
	public TimeLimit plusOverhead(long overheadMs) {
		return new TimeLimit(this.answerMs + overheadMs, this.silenceMs + overheadMs, this.graceMsPerKb);
	}

	/**
	 * Returns how much longer a call may go on, in milliseconds; not positive once it is
	 * over its limit.
	 * @param elapsedMs the time since the call was sent
	 * @param sentBytes the size of the call
	 * @param receivedBytes how much of the answer was received
	 * @param silentMs the time since the last part of the answer was received; ignored
	 * while there is none
	 */
	public long remainingMs(long elapsedMs, long sentBytes, long receivedBytes, long silentMs) {
		long total = this.answerMs + (sentBytes + receivedBytes) * this.graceMsPerKb / BYTES_PER_KB - elapsedMs;
		return (receivedBytes > 0 && this.graceMsPerKb > 0) ? Math.min(total, this.silenceMs - silentMs) : total;
	}

}
