package org.citronrelay.internal.time;

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock in whole milliseconds. It never goes back, not even when the wall
 * clock is set.
 */
@FunctionalInterface
public interface Ticker {

	/**
	 * Returns the current time in milliseconds since an unspecified origin.
	 */
	long millis();

	/**
	 * Returns a ticker that reads the monotonic clock of the machine, which goes on while
	 * the process is suspended.
	 */
	static Ticker system() {
		return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

}
