package org.citronrelay;

import java.util.Map;
import java.util.Objects;

/**
 * The one true answer to a request.
 *
 * <pre>
 * switch (outcome) {
 *     case Outcome.Done done -> use(done.body());
 *     case Outcome.NotRun notRun -> tryLater(notRun.retryAfterMs());
 *     case Outcome.Unknown unknown -> askOperators(unknown.reason());
 * }
 * </pre>
 */
public sealed interface Outcome {

	/**
	 * The request ran and this is its whole answer.
	 *
	 * @param status the HTTP status of the backend server
	 * @param headers its headers
	 * @param body its whole body
	 */
	record Done(int status, Map<String, String> headers, byte[] body) implements Outcome {

		public Done {
			headers = Map.copyOf(headers);
			Objects.requireNonNull(body, "body");
		}

	}

	/**
	 * The request surely did not run.
	 *
	 * @param cause the kind of cause
	 * @param reason what was seen
	 * @param retryAfterMs when a retry makes sense, in milliseconds
	 */
	record NotRun(NotRunCause cause, String reason, long retryAfterMs) implements Outcome {

		public NotRun {
			Objects.requireNonNull(cause, "cause");
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * The request may have run; nobody can tell any more.
	 *
	 * @param reason what was seen
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

		/** The team is at its limit. */
		TEAM_LIMIT,
		/** There is no free slot in time. */
		OVERLOAD,
		/** No backend server took it. */
		NO_BACKEND,
		/** The claim of the key could not be stored. */
		PLATFORM,
		/** The deadline passed before it was sent. */
		DEADLINE,
		/** The entry process is stopping. */
		STOPPING,
		/** The key was used for another body. */
		KEY_REUSED

	}

}
