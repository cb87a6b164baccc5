package org.citronrelay.internal.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.citronrelay.internal.cluster.ClusterStore.Put;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.platform.KvEntry;

/**
 * A record in the store that this process writes again and again. Each write names the
 * revision that it replaces, so that an earlier one that the store carries out late
 * cannot undo it. Not thread-safe.
 */
final class OwnedRecord {

	private final ClusterStore store;

	private final String key;

	/** The revision of the record as far as known, 0 for no record. */
	private long revision;

	OwnedRecord(ClusterStore store, String key) {
		this.store = store;
		this.key = key;
	}

	/**
	 * Writes the record. If its revision is not the expected one, because an earlier
	 * write took effect without an answer or the record is of an earlier process, it is
	 * replaced all the same.
	 * @param lease the lease under which it lives, empty for none
	 * @param conditions the revisions that other keys must have
	 * @return the new revision; a conflict if the other conditions do not hold
	 */
	Either<StoreFailure, Long> write(byte[] value, String lease, Map<String, Long> conditions) {
		Put put = new Put(this.key, value, lease);
		Either<StoreFailure, Long> written = replace(put, conditions);
		if (written.isLeft() && written.getLeft() instanceof StoreFailure.Conflict conflict) {
			long current = revisionIn(conflict);
			if (current != this.revision) {
				this.revision = current;
				written = replace(put, conditions);
			}
		}
		written.peek((stored) -> this.revision = stored);
		return written;
	}

	private Either<StoreFailure, Long> replace(Put put, Map<String, Long> conditions) {
		Map<String, Long> expected = new HashMap<>(conditions);
		expected.put(this.key, this.revision);
		return this.store.transact(new Transaction(expected, List.of(put), List.of()));
	}

	private long revisionIn(StoreFailure.Conflict conflict) {
		return conflict.current()
			.stream()
			.filter((entry) -> entry.key().equals(this.key))
			.mapToLong(KvEntry::revision)
			.findFirst()
			.orElse(0);
	}

}
