package org.citronrelay.internal.dispatch;

import java.util.Objects;

import org.citronrelay.internal.http.HttpReply;

/**
 * What one attempt to send a request proved.
 */
public sealed interface Attempt {

	/**
	 * The whole answer to this request arrived.
	 *
	 * @param reply the answer
	 */
	record Whole(HttpReply reply) implements Attempt {

		public Whole {
			Objects.requireNonNull(reply, "reply");
		}

	}

	/**
	 * The worker surely did not start the request.
	 *
	 * @param reason why
	 * @param leaving whether the worker is about to leave
	 * @param failed whether this speaks against the worker's health
	 */
	record NotStarted(String reason, boolean leaving, boolean failed) implements Attempt {

		public NotStarted {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * The worker may have run the request.
	 *
	 * @param reason what was seen
	 */
	record Lost(String reason) implements Attempt {

		public Lost {
			Objects.requireNonNull(reason, "reason");
		}

	}

}
