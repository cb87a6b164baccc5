package org.citronrelay.internal.standin;

/**
 * Limits calls per second, with a counter that restarts at each full second.
 */
final class RateLimiter {

	private static final long WINDOW_MS = 1_000;

	private final int perSecond;

	private long window;

	private int used;

	RateLimiter(int perSecond) {
		this.perSecond = perSecond;
	}

	/**
	 * Counts a call.
	 * @param now the monotonic time, in milliseconds
	 * @return whether the call is within the limit of its second
	 */
	synchronized boolean tryAcquire(long now) {
		long current = Math.floorDiv(now, WINDOW_MS);
		if (current != this.window) {
			this.window = current;
			this.used = 0;
		}
		this.used++;
		return this.used <= this.perSecond;
	}

}
