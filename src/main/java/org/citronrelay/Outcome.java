package org.citronrelay;

import java.util.Map;
import java.util.Objects;

/**
 * The outcome of a request: whether it ran, and its answer if it did.
 *
 * <pre>
 * switch (outcome) {
 *     case Outcome.Done done -> use(done.body());
 *     case Outcome.NotRun notRun -> retryAfter(notRun.retryAfterMs());
 *     case Outcome.Unknown unknown -> report(unknown.reason());
 * }
 * </pre>
 */
public sealed interface Outcome {

	/**
	 * The request ran and the backend server answered completely.
	 *
	 * @param status the HTTP status of the backend server
	 * @param headers the headers of the answer
	 * @param body the complete body of the answer
	 */
	record Done(int status, Map<String, String> headers, byte[] body) implements Outcome {

		public Done {
			headers = Map.copyOf(headers);
			Objects.requireNonNull(body, "body");
		}

	}

	/**
	 * It is confirmed that the request did not run, so a retry cannot run it twice.
	 *
	 * @param cause the kind of cause
	 * @param reason what went wrong, for people
	 * @param retryAfterMs how long to wait before a retry, in milliseconds
	 */
	record NotRun(NotRunCause cause, String reason, long retryAfterMs) implements Outcome {

		public NotRun {
			Objects.requireNonNull(cause, "cause");
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * The request may have run, and this can no longer be determined.
	 *
	 * @param reason what went wrong, for people
	 */
	record Unknown(String reason) implements Outcome {

		public Unknown {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * Why a request was not run.
	 */
	enum NotRunCause {

		/** The team has reached its limit of requests in progress. */
		TEAM_LIMIT,
		/** No slot became free in the time that the request may wait. */
		OVERLOAD,
		/** No backend server accepted the request. */
		NO_BACKEND,
		/** The claim of the idempotency key could not be stored. */
		PLATFORM,
		/** The deadline passed before the request was sent. */
		DEADLINE,
		/** The entry process is shutting down. */
		STOPPING,
		/** The idempotency key was already used with another request body. */
		KEY_REUSED

	}

}
