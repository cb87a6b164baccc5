package org.citronrelay.internal.dispatch;

import java.util.Objects;

import org.citronrelay.internal.http.HttpReply;

/**
 * The result of one attempt to send a request, by what it proves about whether the
 * request ran.
 */
public sealed interface AttemptResult {

	/**
	 * The complete answer to the request arrived.
	 *
	 * @param reply the answer
	 */
	record Answered(HttpReply reply) implements AttemptResult {

		public Answered {
			Objects.requireNonNull(reply, "reply");
		}

	}

	/**
	 * The worker did not start the request.
	 *
	 * @param reason why the worker did not start it
	 * @param draining whether the worker refused the request because it is draining
	 * @param countsAsFailure whether the attempt counts as a failure of the worker when
	 * deciding on its ejection
	 */
	record NotStarted(String reason, boolean draining, boolean countsAsFailure) implements AttemptResult {

		public NotStarted {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * It is unknown whether the worker ran the request.
	 *
	 * @param reason what went wrong
	 */
	record Ambiguous(String reason) implements AttemptResult {

		public Ambiguous {
			Objects.requireNonNull(reason, "reason");
		}

	}

}
