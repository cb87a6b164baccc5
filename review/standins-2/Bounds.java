package org.citronrelay.soak;

/**
 * The bounds of the site kmh-wheelswap, in milliseconds.
 */
final class Bounds {

	static final long HOLD_MAX_MS = 10_000;

	static final long KILL_GRACE_MS = 400;

	static final long HEARTBEAT_MS = 1_500;

	static final long CONTACT_MS = 3_000;

	static final long VISIBLE_MS = 3_000;

	static final long RECLAIM_MS = 2_900;

	private Bounds() {
	}

}
