package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Objects;

import org.citronrelay.internal.platform.KvEntry;

/**
 * Why a call to the cluster's store gave no result.
 */
public sealed interface StoreFailure {

	/**
	 * The failure as a short phrase.
	 */
	default String phrase() {
		return switch (this) {
			case Conflict conflict -> "conflict, " + conflict.current().size() + " expected key(s) are there";
			case HistoryGone _ -> "the changes asked for are no longer kept";
			case LeaseGone gone -> "lease " + gone.lease() + " is gone";
			case Unavailable unavailable -> "unavailable: " + unavailable.reason();
			case Ambiguous ambiguous -> "ambiguous: " + ambiguous.reason();
		};
	}

	/**
	 * An expected revision was not the current one; nothing was written.
	 *
	 * @param current what stands at the expected keys now; absent keys are left out
	 */
	record Conflict(List<KvEntry> current) implements StoreFailure {

		public Conflict {
			current = List.copyOf(current);
		}

	}

	/**
	 * The changes after the revision asked for are no longer kept.
	 */
	record HistoryGone() implements StoreFailure {
	}

	/**
	 * The lease under which a value was to be written is gone; nothing was written.
	 *
	 * @param lease the lease
	 */
	record LeaseGone(String lease) implements StoreFailure {

		public LeaseGone {
			Objects.requireNonNull(lease, "lease");
		}

	}

	/**
	 * The call surely had no effect.
	 *
	 * @param reason what was seen
	 */
	record Unavailable(String reason) implements StoreFailure {

		public Unavailable {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * The call may have had its effect, or may have it later.
	 *
	 * @param reason what was seen
	 */
	record Ambiguous(String reason) implements StoreFailure {

		public Ambiguous {
			Objects.requireNonNull(reason, "reason");
		}

	}

}
