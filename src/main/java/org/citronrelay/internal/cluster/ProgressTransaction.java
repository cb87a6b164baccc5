package org.citronrelay.internal.cluster;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.citronrelay.internal.cluster.ClusterStore.Put;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.schedule.ClusterScheduler;
import org.citronrelay.internal.schedule.ProgressWrite;
import org.citronrelay.internal.schedule.WriteLimits;

/**
 * Stores the progress of some jobs in one transaction, and removes the other records of
 * those that have ended: a new coordinator has to load what is stored, and needs no more
 * of an ended job than its end.
 *
 * @param token the fencing token of the term
 * @param writes the progress
 */
record ProgressTransaction(long token, List<ProgressWrite> writes) {

	/**
	 * The limits of one transaction: one entry is the check of the term, and a large
	 * transaction delays the others on a slow link.
	 */
	static final WriteLimits LIMITS = new WriteLimits(ClusterStore.TRANSACTION_ENTRIES - 1, 64 * 1024);

	ProgressTransaction {
		writes = List.copyOf(writes);
	}

	Transaction transaction() {
		Map<String, Long> expected = new HashMap<>();
		expected.put(StoreKeys.COORDINATOR, this.token);
		List<Put> puts = new ArrayList<>();
		List<String> removes = new ArrayList<>();
		for (ProgressWrite write : this.writes) {
			expected.put(StoreKeys.PROGRESS + write.job(), write.revision());
			puts.add(new Put(StoreKeys.PROGRESS + write.job(), write.document(), ""));
			if (write.closing()) {
				removes.add(StoreKeys.JOBS + write.job());
				removes.add(StoreKeys.CANCELS + write.job());
			}
		}
		return new Transaction(expected, puts, removes);
	}

	/**
	 * Applies the outcome of the transaction.
	 * @return false if the term is over, since the coordinator key no longer holds it
	 */
	boolean apply(Either<StoreFailure, Long> outcome, ClusterScheduler scheduler) {
		if (outcome.isRight()) {
			this.writes.forEach((write) -> scheduler.writeStored(write, outcome.get()));
			return true;
		}
		if (outcome.getLeft() instanceof StoreFailure.Conflict conflict) {
			return resolve(conflict, scheduler);
		}
		this.writes.forEach((write) -> scheduler.writeNotStored(write, write.revision()));
		return true;
	}

	/**
	 * Handles a conflict: either the coordinator key has changed, or an earlier write of
	 * this coordinator took effect though its answer was lost.
	 */
	private boolean resolve(StoreFailure.Conflict conflict, ClusterScheduler scheduler) {
		Map<String, KvEntry> current = conflict.current()
			.stream()
			.collect(Collectors.toMap(KvEntry::key, (entry) -> entry, (one, _) -> one));
		KvEntry coordinator = current.get(StoreKeys.COORDINATOR);
		if (coordinator == null || coordinator.revision() != this.token) {
			return false;
		}
		for (ProgressWrite write : this.writes) {
			KvEntry entry = current.get(StoreKeys.PROGRESS + write.job());
			long revision = (entry != null) ? entry.revision() : 0;
			if (entry != null && Arrays.equals(entry.value(), write.document())) {
				scheduler.writeStored(write, revision);
			}
			else {
				scheduler.writeNotStored(write, revision);
			}
		}
		return true;
	}

}
