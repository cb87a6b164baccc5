package org.citronrelay.internal.cluster;

import java.util.function.Function;
import java.util.function.Supplier;

import org.citronrelay.internal.logging.Part;

/**
 * Keeps an unexpected error, such as that of a malformed record, from ending the thread
 * in which it occurs. The error is logged, and the work of the thread goes on.
 */
final class ErrorBoundary {

	private ErrorBoundary() {
	}

	/**
	 * Runs an action.
	 * @param activity what the action does, for the log
	 * @return whether it ended without an error
	 */
	static boolean run(String activity, Runnable action) {
		return call(activity, () -> {
			action.run();
			return true;
		}, (error) -> false);
	}

	/**
	 * Returns the result of an action, or of the fallback if the action fails with an
	 * unexpected error.
	 * @param activity what the action does, for the log
	 */
	static <T> T call(String activity, Supplier<T> action, Function<Throwable, T> fallback) {
		try {
			return action.get();
		}
		catch (RuntimeException | StackOverflowError | LinkageError ex) {
			Part.ENTRY.logger()
				.atError()
				.addKeyValue("activity", activity)
				.setCause(ex)
				.log("An activity failed with an unexpected error; the process goes on without its result.");
			return fallback.apply(ex);
		}
	}

}
