package org.citronrelay.internal.time;

/**
 * Waiting without a checked exception.
 */
public final class Pause {

	private Pause() {
	}

	/**
	 * Waits for some milliseconds, or less when the thread is interrupted; says whether
	 * it waited to the end.
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
