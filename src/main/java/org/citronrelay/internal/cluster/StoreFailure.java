package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Objects;

import org.citronrelay.internal.platform.KvEntry;

/**
 * Why a call to the cluster's store failed.
 */
public sealed interface StoreFailure {

	/**
	 * Returns the failure as a short text, for logs and answers.
	 */
	default String message() {
		return switch (this) {
			case Conflict conflict -> "conflict: " + conflict.current().size() + " of the expected keys exist";
			case HistoryGone _ -> "the changes since the requested revision are no longer stored";
			case LeaseGone leaseGone -> "lease " + leaseGone.lease() + " has expired or was revoked";
			case Rejected rejected -> "rejected: " + rejected.reason();
			case Unavailable unavailable -> "unavailable: " + unavailable.reason();
			case Ambiguous ambiguous -> "ambiguous: " + ambiguous.reason();
		};
	}

	/**
	 * Whether the store has answered the call, so that calls of its kind get through.
	 */
	default boolean answered() {
		return switch (this) {
			case Conflict _, HistoryGone _, LeaseGone _, Rejected _ -> true;
			case Unavailable _, Ambiguous _ -> false;
		};
	}

	/**
	 * An expected revision was not the current one; nothing was written.
	 *
	 * @param current the current entries of the expected keys, without keys that do not
	 * exist
	 */
	record Conflict(List<KvEntry> current) implements StoreFailure {

		public Conflict {
			current = List.copyOf(current);
		}

	}

	/**
	 * The changes since the requested revision are no longer stored; a new list is
	 * needed.
	 */
	record HistoryGone() implements StoreFailure {
	}

	/**
	 * The lease of a value to write has expired or was revoked; nothing was written.
	 *
	 * @param lease the id of the lease
	 */
	record LeaseGone(String lease) implements StoreFailure {

		public LeaseGone {
			Objects.requireNonNull(lease, "lease");
		}

	}

	/**
	 * The store does not accept the call, now or later; it had no effect.
	 *
	 * @param reason the answer of the store
	 */
	record Rejected(String reason) implements StoreFailure {

		public Rejected {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * The call had no effect and will have none.
	 *
	 * @param reason the failure that was observed
	 */
	record Unavailable(String reason) implements StoreFailure {

		public Unavailable {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * The call may have taken effect, or may still do so.
	 *
	 * @param reason the failure that was observed
	 */
	record Ambiguous(String reason) implements StoreFailure {

		public Ambiguous {
			Objects.requireNonNull(reason, "reason");
		}

	}

}
