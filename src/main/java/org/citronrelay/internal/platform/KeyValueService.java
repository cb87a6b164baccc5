package org.citronrelay.internal.platform;

import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Option;

/**
 * The platform's key-value service. Each method sends one call. A failed call returns a
 * {@link KvFailure}, which tells whether the call may have taken effect.
 */
public interface KeyValueService {

	/** Maximum size of a value, in bytes. */
	int MAX_VALUE_BYTES = 1024 * 1024;

	/** Passed as the lease of a value that does not expire. */
	String NO_LEASE = "";

	/**
	 * Reads one key.
	 * @return the entry, or none if the key does not exist
	 */
	Either<KvFailure, Option<KvEntry>> read(String key);

	/**
	 * Reads all keys with a prefix, sorted by key.
	 */
	Either<KvFailure, KvSnapshot> list(String prefix);

	/**
	 * Writes one key if the expectation holds, else fails with
	 * {@link KvFailure.Conflict}.
	 * @param lease the lease on whose end the service deletes the key, or
	 * {@link #NO_LEASE}
	 * @return the entry as written, with its new revision
	 */
	Either<KvFailure, KvEntry> write(String key, byte[] value, Expectation expectation, String lease);

	/**
	 * Deletes one key if it was last written at the given revision.
	 * @return whether the key was deleted
	 */
	Either<KvFailure, Boolean> delete(String key, long revision);

	/**
	 * Grants a lease.
	 * @param ttlMs time after which the lease expires unless it is renewed, in
	 * milliseconds
	 * @return the id of the lease
	 */
	Either<KvFailure, String> grant(long ttlMs);

	/**
	 * Renews a lease.
	 * @return false if the lease has expired or was revoked
	 */
	Either<KvFailure, Boolean> renew(String lease);

	/**
	 * Revokes a lease and deletes all keys written under it.
	 * @return false if the lease had already expired or been revoked
	 */
	Either<KvFailure, Boolean> revoke(String lease);

	/**
	 * Waits for changes under a prefix that are newer than the given revision.
	 * @param waitMs maximum time to wait, in milliseconds
	 * @return the changes; an empty snapshot if there were none
	 */
	Either<KvFailure, KvSnapshot> watch(String prefix, long afterRevision, long waitMs);

	/**
	 * The entries under a prefix at one revision of the service.
	 *
	 * @param entries all entries, or for a watch those created or changed
	 * @param deleted for a watch the keys that were deleted, else empty
	 * @param revision the revision of the service that the snapshot reflects
	 */
	record KvSnapshot(List<KvEntry> entries, List<String> deleted, long revision) {

		public KvSnapshot {
			entries = List.copyOf(entries);
			deleted = List.copyOf(deleted);
		}

		/**
		 * Whether there are neither entries nor deleted keys.
		 */
		public boolean isEmpty() {
			return this.entries.isEmpty() && this.deleted.isEmpty();
		}

	}

}
