package org.citronrelay.internal.time;

/**
 * Sleeps without a checked exception.
 */
public final class Pause {

	private Pause() {
	}

	/**
	 * Sleeps for the given time. If the thread is interrupted, returns early with the
	 * interrupt flag set.
	 * @param millis the time in milliseconds
	 * @return whether the whole time passed without an interrupt
	 */
	public static boolean millis(long millis) {
		try {
			Thread.sleep(millis);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
