package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Map;

import org.citronrelay.internal.platform.KvEntry;

/**
 * The removal of records that are not needed any more.
 *
 * @param expected the revisions that the records must have, 0 for no such record
 * @param keys the keys to remove
 * @param event tells the coordinator that the records are gone
 */
record Removal(Map<String, Long> expected, List<String> keys, CoordinatorEvent event) {

	/** The largest number of entries that a removal takes in a transaction. */
	static final int ENTRIES = 4;

	Removal {
		expected = Map.copyOf(expected);
		keys = List.copyOf(keys);
	}

	/**
	 * Returns the removal of all that is stored of an ended job.
	 * @param revision the revision of its progress
	 */
	static Removal ofEndedJob(String job, long revision) {
		return new Removal(Map.of(StoreKeys.PROGRESS + job, revision),
				List.of(StoreKeys.JOBS + job, StoreKeys.CANCELS + job, StoreKeys.PROGRESS + job),
				new CoordinatorEvent.JobForgotten(job, revision));
	}

	/**
	 * Returns the removal of the cancellation of a job that was never stored.
	 * @param revision the revision of the cancellation
	 */
	static Removal ofCancelRequest(String job, long revision) {
		return new Removal(
				Map.of(StoreKeys.CANCELS + job, revision, StoreKeys.JOBS + job, 0L, StoreKeys.PROGRESS + job, 0L),
				List.of(StoreKeys.CANCELS + job), new CoordinatorEvent.CancelForgotten(job, revision));
	}

	/**
	 * Whether the records are still the expected ones after a conflict. They are not if
	 * an earlier removal took effect though its answer was lost.
	 */
	boolean stillDue(StoreFailure.Conflict conflict) {
		return this.expected.entrySet()
			.stream()
			.allMatch((record) -> revision(record.getKey(), conflict) == record.getValue());
	}

	private static long revision(String key, StoreFailure.Conflict conflict) {
		return conflict.current()
			.stream()
			.filter((entry) -> entry.key().equals(key))
			.mapToLong(KvEntry::revision)
			.findFirst()
			.orElse(0);
	}

}
