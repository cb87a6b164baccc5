package org.citronrelay.internal.http;

import java.util.Objects;

/**
 * How a call to another process ended.
 */
public sealed interface Exchange {

	/**
	 * The whole answer arrived.
	 *
	 * @param reply the answer
	 */
	record Answered(HttpReply reply) implements Exchange {

		public Answered {
			Objects.requireNonNull(reply, "reply");
		}

	}

	/**
	 * No byte of the call left this process.
	 *
	 * @param reason why not
	 * @param refused whether the machine answered that nobody listens there
	 */
	record NotSent(String reason, boolean refused) implements Exchange {

		public NotSent {
			Objects.requireNonNull(reason, "reason");
		}

		/**
		 * A call that was not sent, for another reason than that nobody listens.
		 */
		public NotSent(String reason) {
			this(reason, false);
		}

	}

	/**
	 * The call may have arrived, but no whole answer came back.
	 *
	 * @param reason what was seen
	 * @param silent whether nothing at all was heard until the time ran out
	 */
	record Broken(String reason, boolean silent) implements Exchange {

		public Broken {
			Objects.requireNonNull(reason, "reason");
		}

	}

}
