package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;

/**
 * A key-value store with transactions, leases and watches. Each method is one call, but
 * for {@link #list}, which is one call a page.
 */
public interface ClusterStore {

	/** The most expectations, values and removals that one transaction may hold. */
	int TRANSACTION_ENTRIES = 32;

	/**
	 * Reads one key.
	 */
	Either<StoreFailure, Option<KvEntry>> read(String key);

	/**
	 * Reads all keys with a prefix. Changes after the revision of the snapshot are not
	 * missed by a watch that begins there.
	 */
	Either<StoreFailure, KvSnapshot> list(String prefix);

	/**
	 * Waits for changes after a revision under a prefix.
	 * @param waitMs how long to wait, in milliseconds
	 */
	Either<StoreFailure, KvSnapshot> watch(String prefix, long afterRevision, long waitMs);

	/**
	 * Writes all of a transaction or nothing; gives its revision.
	 */
	Either<StoreFailure, Long> transact(Transaction transaction);

	/**
	 * Grants a lease.
	 * @param ttlMs how long it lives without renewal, in milliseconds
	 */
	Either<StoreFailure, String> grant(long ttlMs);

	/**
	 * Renews a lease; false when it is gone.
	 */
	Either<StoreFailure, Boolean> renew(String lease);

	/**
	 * Ends a lease and removes all keys under it.
	 */
	Either<StoreFailure, Boolean> revoke(String lease);

	/**
	 * Changes that are made together under conditions.
	 *
	 * @param expected the revision expected at each key, 0 for no such key
	 * @param puts what to write
	 * @param removes the keys to remove
	 */
	record Transaction(Map<String, Long> expected, List<Put> puts, List<String> removes) {

		public Transaction {
			expected = Map.copyOf(expected);
			puts = List.copyOf(puts);
			removes = List.copyOf(removes);
		}

		/**
		 * Creates one key that does not exist.
		 */
		static Transaction create(String key, byte[] value, String lease) {
			return new Transaction(Map.of(key, 0L), List.of(new Put(key, value, lease)), List.of());
		}

	}

	/**
	 * One value to write.
	 *
	 * @param key the key
	 * @param value the value
	 * @param lease the lease under which it lives, empty for none
	 */
	record Put(String key, byte[] value, String lease) {
	}

}
