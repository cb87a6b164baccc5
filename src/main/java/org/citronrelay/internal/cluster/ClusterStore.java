package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;

/**
 * A key-value store with transactions, leases and watches. Each method makes one call,
 * except {@link #list}, which makes one call for each page.
 */
public interface ClusterStore {

	/** The limit of expectations, values and removals in one transaction, in total. */
	int TRANSACTION_ENTRIES = 32;

	/**
	 * Reads one key.
	 * @return the entry, none if there is no such key
	 */
	Either<StoreFailure, Option<KvEntry>> read(String key);

	/**
	 * Reads all keys with a prefix. A watch that starts at the revision of the snapshot
	 * reports all later changes.
	 */
	Either<StoreFailure, KvSnapshot> list(String prefix);

	/**
	 * Waits for changes after a revision under a prefix.
	 * @param waitMs how long to wait, in milliseconds
	 * @return the changes, empty if there were none in that time
	 */
	Either<StoreFailure, KvSnapshot> watch(String prefix, long afterRevision, long waitMs);

	/**
	 * Applies a transaction as a whole, or not at all if an expectation does not hold.
	 * @return the revision of the transaction
	 */
	Either<StoreFailure, Long> transact(Transaction transaction);

	/**
	 * Grants a lease.
	 * @param ttlMs how long it lives without renewal, in milliseconds
	 * @return the id of the lease
	 */
	Either<StoreFailure, String> grant(long ttlMs);

	/**
	 * Renews a lease.
	 * @return false if the lease has expired or was revoked
	 */
	Either<StoreFailure, Boolean> renew(String lease);

	/**
	 * Ends a lease and removes all keys under it.
	 * @return false if there was no such lease
	 */
	Either<StoreFailure, Boolean> revoke(String lease);

	/**
	 * Changes that are applied atomically if all expectations hold.
	 *
	 * @param expected the revision expected at each key, 0 for no such key
	 * @param puts the values to write
	 * @param removes the keys to remove
	 */
	record Transaction(Map<String, Long> expected, List<Put> puts, List<String> removes) {

		public Transaction {
			expected = Map.copyOf(expected);
			puts = List.copyOf(puts);
			removes = List.copyOf(removes);
		}

		/**
		 * Returns a transaction that creates a key, and fails if the key exists.
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
