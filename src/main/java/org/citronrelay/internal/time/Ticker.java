package org.citronrelay.internal.time;

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock of whole milliseconds that never goes back, not even when the wall
 * clock is set.
 */
@FunctionalInterface
public interface Ticker {

	/**
	 * The present time in milliseconds since an unspecified start.
	 */
	long millis();

	/**
	 * The monotonic clock of the machine. It goes on while the process is stopped.
	 */
	static Ticker system() {
		return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

}
