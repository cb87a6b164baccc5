package org.citronrelay.internal.holder;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.gang.DomainEvent.RecordSeen;
import org.citronrelay.internal.gang.DomainEvent.StoreResult;
import org.citronrelay.internal.gang.JobRecord;
import org.citronrelay.internal.platform.Expectation;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.platform.SharedLease;
import org.citronrelay.internal.time.Ticker;

/**
 * Stores and reads job records, and the values of idempotency keys of jobs, in the
 * key-value service.
 */
public final class JobStore {

	private static final String JOB_KEY_PREFIX = "/citronrelay/jobkeys/";

	private static final int WRITE_ATTEMPTS = 3;

	private final KeyValueService kv;

	private final SharedLease sharedLease;

	private final Ticker ticker;

	public JobStore(KeyValueService kv, Ticker ticker) {
		this.kv = kv;
		this.sharedLease = new SharedLease(kv);
		this.ticker = ticker;
	}

	/**
	 * Stores a new record. The result is a conflict if a record with its id exists.
	 */
	public StoreResult create(String failureDomain, JobRecord record) {
		return store(failureDomain, record, Expectation.absent());
	}

	/**
	 * Stores a value under an idempotency key unless the key already has one.
	 * @return the value that is stored afterwards, the given one or an earlier one
	 */
	public Either<KvFailure, String> putIfAbsent(String key, String value) {
		byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
		Either<KvFailure, KvEntry> written = this.kv.write(JOB_KEY_PREFIX + key, bytes, Expectation.absent(),
				expiringLease());
		if (written.isRight()) {
			return Either.right(value);
		}
		return this.kv.read(JOB_KEY_PREFIX + key)
			.flatMap((entry) -> entry.map((present) -> new String(present.value(), StandardCharsets.UTF_8))
				.toEither(written.getLeft()));
	}

	/**
	 * Replaces a stored record if it is still at the given revision. Otherwise the result
	 * is a conflict.
	 */
	public StoreResult replace(String failureDomain, JobRecord record, long revision) {
		return store(failureDomain, record, Expectation.revision(revision));
	}

	/**
	 * Reads one record; nothing if there is none with the id.
	 */
	public Either<KvFailure, Option<RecordSeen>> read(String failureDomain, String jobId) {
		return this.kv.read(JobRecord.key(failureDomain, jobId)).map((entry) -> entry.map(JobStore::toRecordSeen));
	}

	/**
	 * Reads all records of a failure domain.
	 */
	public Either<KvFailure, Listing> list(String failureDomain) {
		return this.kv.list(JobRecord.prefix(failureDomain)).map(JobStore::toListing);
	}

	/**
	 * Waits for changed records of a failure domain.
	 * @param afterRevision changes after this revision are returned
	 * @param waitMs the longest wait, in milliseconds
	 * @return the changed records, none when the wait ended first
	 */
	public Either<KvFailure, Listing> watch(String failureDomain, long afterRevision, long waitMs) {
		return this.kv.watch(JobRecord.prefix(failureDomain), afterRevision, waitMs).map(JobStore::toListing);
	}

	private StoreResult store(String failureDomain, JobRecord record, Expectation expectation) {
		String key = JobRecord.key(failureDomain, record.id());
		byte[] bytes = record.bytes();
		StoreResult result = new StoreResult.Unavailable("no write was attempted");
		for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
			String lease = record.state().terminal() ? expiringLease() : KeyValueService.NO_LEASE;
			Either<KvFailure, KvEntry> written = this.kv.write(key, bytes, expectation, lease);
			if (written.isRight()) {
				return new StoreResult.Done(written.get().revision());
			}
			switch (written.getLeft()) {
				case KvFailure.Conflict conflict -> {
					return resolveConflict(bytes, conflict);
				}
				case KvFailure.LeaseGone gone -> this.sharedLease.discard(gone.lease());
				case KvFailure.Unavailable _, KvFailure.Ambiguous _ ->
					result = new StoreResult.Unavailable(written.getLeft().message());
			}
		}
		return result;
	}

	/**
	 * Returns the lease under which values expire after about a day. Returns
	 * {@link KeyValueService#NO_LEASE} if no lease can be granted, because a value that
	 * is never deleted does less harm than one that is not stored.
	 */
	private String expiringLease() {
		return this.sharedLease.current(this.ticker.millis()).getOrElse(KeyValueService.NO_LEASE);
	}

	/**
	 * Treats a conflict with the same bytes as success: it is an earlier write of this
	 * process whose reply was lost.
	 */
	private static StoreResult resolveConflict(byte[] bytes, KvFailure.Conflict conflict) {
		Option<KvEntry> current = conflict.current();
		if (current.exists((entry) -> Arrays.equals(entry.value(), bytes))) {
			return new StoreResult.Done(current.get().revision());
		}
		return new StoreResult.Conflict(current.map((entry) -> JobRecord.read(entry.value())),
				current.map(KvEntry::revision).getOrElse(0L));
	}

	private static RecordSeen toRecordSeen(KvEntry entry) {
		return new RecordSeen(JobRecord.read(entry.value()), entry.revision());
	}

	private static Listing toListing(KvSnapshot snapshot) {
		return new Listing(snapshot.entries().stream().map(JobStore::toRecordSeen).toList(), snapshot.revision());
	}

	/**
	 * Job records read from the key-value service.
	 *
	 * @param records the records
	 * @param revision the revision of the service at which they were read
	 */
	public record Listing(List<RecordSeen> records, long revision) {

		public Listing {
			records = List.copyOf(records);
		}

	}

}
