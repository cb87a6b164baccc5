package org.citronrelay.internal.standin;

/**
 * A limit of calls a second, counted in whole seconds.
 */
final class RateLimit {

	private static final long WINDOW_MS = 1_000;

	private final int perSecond;

	private long window;

	private int used;

	RateLimit(int perSecond) {
		this.perSecond = perSecond;
	}

	synchronized boolean allows(long now) {
		long present = Math.floorDiv(now, WINDOW_MS);
		if (present != this.window) {
			this.window = present;
			this.used = 0;
		}
		this.used++;
		return this.used <= this.perSecond;
	}

}
