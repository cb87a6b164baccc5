package org.citronrelay.internal.http;

import java.util.Objects;

/**
 * Result of a call to another process. It tells whether the call may have been received.
 */
public sealed interface Exchange {

	/**
	 * A complete answer was received.
	 *
	 * @param reply the answer
	 */
	record Answered(HttpReply reply) implements Exchange {

		public Answered {
			Objects.requireNonNull(reply, "reply");
		}

	}

	/**
	 * No byte of the call was sent.
	 *
	 * @param reason why it was not sent
	 */
	record NotSent(String reason) implements Exchange {

		public NotSent {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * The call may have been received, but no complete answer came back.
	 *
	 * @param reason the error that was seen
	 * @param unanswered whether the time-out passed without a single byte of an answer
	 */
	record Broken(String reason, boolean unanswered) implements Exchange {

		public Broken {
			Objects.requireNonNull(reason, "reason");
		}

	}

}
