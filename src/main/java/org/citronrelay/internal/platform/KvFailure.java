package org.citronrelay.internal.platform;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * Reason why a call to the key-value service failed.
 */
public sealed interface KvFailure {

	/**
	 * Returns a short text for logs and error messages. The revision of a conflict is 0
	 * if the key does not exist.
	 */
	default String message() {
		return switch (this) {
			case Conflict conflict -> "conflict: the current revision of the key is "
					+ conflict.current().map(KvEntry::revision).getOrElse(0L);
			case LeaseGone gone -> "lease " + gone.lease() + " has expired or was revoked";
			case Unavailable unavailable -> "unavailable: " + unavailable.reason();
			case Ambiguous ambiguous -> "ambiguous: " + ambiguous.reason();
		};
	}

	/**
	 * The expectation of a write did not hold. Nothing was written.
	 *
	 * @param current the current entry of the key, or none if the key does not exist
	 */
	record Conflict(Option<KvEntry> current) implements KvFailure {

		public Conflict {
			Objects.requireNonNull(current, "current");
		}

	}

	/**
	 * The lease of a write has expired or was revoked. Nothing was written.
	 *
	 * @param lease the id of the lease
	 */
	record LeaseGone(String lease) implements KvFailure {

		public LeaseGone {
			Objects.requireNonNull(lease, "lease");
		}

	}

	/**
	 * The call had no effect: it was not sent, or the service refused it.
	 *
	 * @param reason the error or status that was received
	 */
	record Unavailable(String reason) implements KvFailure {

		public Unavailable {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * The call may have taken effect: it was sent, but no answer tells its result.
	 *
	 * @param reason the error or status that was received
	 */
	record Ambiguous(String reason) implements KvFailure {

		public Ambiguous {
			Objects.requireNonNull(reason, "reason");
		}

	}

}
