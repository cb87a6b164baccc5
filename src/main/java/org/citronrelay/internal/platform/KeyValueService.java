package org.citronrelay.internal.platform;

import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Option;

/**
 * The platform's key-value service. Each method is one counted call.
 */
public interface KeyValueService {

	/** The largest value, in bytes. */
	int LARGEST_VALUE_BYTES = 1024 * 1024;

	/** The lease of a value that stays until it is deleted. */
	String NO_LEASE = "";

	/**
	 * Reads one key.
	 */
	Either<KvFailure, Option<KvEntry>> read(String key);

	/**
	 * Reads all keys with a prefix, in the order of the keys.
	 */
	Either<KvFailure, KvSnapshot> list(String prefix);

	/**
	 * Writes one key if the expectation holds. A value under a lease goes away with it.
	 */
	Either<KvFailure, KvEntry> write(String key, byte[] value, Expectation expectation, String lease);

	/**
	 * Deletes one key if it is at the revision.
	 */
	Either<KvFailure, Boolean> delete(String key, long revision);

	/**
	 * Grants a lease.
	 * @param ttlMs how long it lives without renewal, in milliseconds
	 */
	Either<KvFailure, String> grant(long ttlMs);

	/**
	 * Renews a lease; false when it is gone.
	 */
	Either<KvFailure, Boolean> renew(String lease);

	/**
	 * Gives a lease back with all values under it.
	 */
	Either<KvFailure, Boolean> revoke(String lease);

	/**
	 * Waits for changes after a revision under a prefix.
	 * @param waitMs how long to wait, in milliseconds
	 */
	Either<KvFailure, KvSnapshot> watch(String prefix, long afterRevision, long waitMs);

	/**
	 * The entries under a prefix as of a revision of the service.
	 *
	 * @param entries the entries; for a watch those that changed
	 * @param deleted for a watch the keys that were deleted
	 * @param revision the revision of the service
	 */
	record KvSnapshot(List<KvEntry> entries, List<String> deleted, long revision) {

		public KvSnapshot {
			entries = List.copyOf(entries);
			deleted = List.copyOf(deleted);
		}

		/**
		 * Whether anything changed.
		 */
		public boolean isEmpty() {
			return this.entries.isEmpty() && this.deleted.isEmpty();
		}

	}

}
