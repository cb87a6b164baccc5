package org.citronrelay.internal.platform;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * Why a call to the key-value service gave no result.
 */
public sealed interface KvFailure {

	/**
	 * The failure as a short phrase.
	 */
	default String phrase() {
		return switch (this) {
			case Conflict conflict ->
				"conflict with revision " + conflict.current().map(KvEntry::revision).getOrElse(0L);
			case LeaseGone gone -> "lease " + gone.lease() + " is gone";
			case Unavailable unavailable -> "unavailable: " + unavailable.reason();
			case Ambiguous ambiguous -> "ambiguous: " + ambiguous.reason();
		};
	}

	/**
	 * The expected revision was not the current one; nothing was written.
	 *
	 * @param current what stands there now
	 */
	record Conflict(Option<KvEntry> current) implements KvFailure {

		public Conflict {
			Objects.requireNonNull(current, "current");
		}

	}

	/**
	 * The lease under which a value was to be written is gone; nothing was written.
	 *
	 * @param lease the lease
	 */
	record LeaseGone(String lease) implements KvFailure {

		public LeaseGone {
			Objects.requireNonNull(lease, "lease");
		}

	}

	/**
	 * The call surely had no effect.
	 *
	 * @param reason what was seen
	 */
	record Unavailable(String reason) implements KvFailure {

		public Unavailable {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * The call may have had its effect.
	 *
	 * @param reason what was seen
	 */
	record Ambiguous(String reason) implements KvFailure {

		public Ambiguous {
			Objects.requireNonNull(reason, "reason");
		}

	}

}
