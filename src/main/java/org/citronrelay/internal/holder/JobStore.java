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
 * The records of jobs in the key-value service.
 */
public final class JobStore {

	private static final String PINS = "/citronrelay/jobkeys/";

	private static final int ATTEMPTS = 3;

	private final KeyValueService kv;

	private final SharedLease endedLease;

	private final Ticker ticker;

	public JobStore(KeyValueService kv, Ticker ticker) {
		this.kv = kv;
		this.endedLease = new SharedLease(kv);
		this.ticker = ticker;
	}

	/**
	 * Stores a new record.
	 */
	public StoreResult create(String failureDomain, JobRecord record) {
		return store(failureDomain, record, Expectation.absent());
	}

	/**
	 * Stores a value under a key unless one is there, and gives the one that is there
	 * then.
	 */
	public Either<KvFailure, String> pin(String key, String value) {
		byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
		Either<KvFailure, KvEntry> written = this.kv.write(PINS + key, bytes, Expectation.absent(), lapsing());
		if (written.isRight()) {
			return Either.right(value);
		}
		return this.kv.read(PINS + key)
			.flatMap((entry) -> entry.map((present) -> new String(present.value(), StandardCharsets.UTF_8))
				.toEither(written.getLeft()));
	}

	/**
	 * Stores a record over one at a revision.
	 */
	public StoreResult replace(String failureDomain, JobRecord record, long revision) {
		return store(failureDomain, record, Expectation.revision(revision));
	}

	/**
	 * Reads one record.
	 */
	public Either<KvFailure, Option<RecordSeen>> read(String failureDomain, String jobId) {
		return this.kv.read(JobRecord.key(failureDomain, jobId)).map((entry) -> entry.map(JobStore::seen));
	}

	/**
	 * Reads all records of a failure domain.
	 */
	public Either<KvFailure, Listing> list(String failureDomain) {
		return this.kv.list(JobRecord.prefix(failureDomain)).map(JobStore::listing);
	}

	/**
	 * Waits for records that change.
	 */
	public Either<KvFailure, Listing> watch(String failureDomain, long afterRevision, long waitMs) {
		return this.kv.watch(JobRecord.prefix(failureDomain), afterRevision, waitMs).map(JobStore::listing);
	}

	private StoreResult store(String failureDomain, JobRecord record, Expectation expectation) {
		String key = JobRecord.key(failureDomain, record.id());
		byte[] bytes = record.bytes();
		StoreResult result = new StoreResult.Unavailable("not tried");
		for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
			String lease = record.state().terminal() ? lapsing() : KeyValueService.NO_LEASE;
			Either<KvFailure, KvEntry> written = this.kv.write(key, bytes, expectation, lease);
			if (written.isRight()) {
				return new StoreResult.Done(written.get().revision());
			}
			switch (written.getLeft()) {
				case KvFailure.Conflict conflict -> {
					return conflicted(bytes, conflict);
				}
				case KvFailure.LeaseGone gone -> this.endedLease.lost(gone.lease());
				case KvFailure.Unavailable _, KvFailure.Ambiguous _ ->
					result = new StoreResult.Unavailable(written.getLeft().phrase());
			}
		}
		return result;
	}

	/**
	 * The lease of what is needed for a day only, none where it cannot be had: a value
	 * that stays too long does less harm than one that is not stored.
	 */
	private String lapsing() {
		return this.endedLease.current(this.ticker.millis()).getOrElse(KeyValueService.NO_LEASE);
	}

	/**
	 * A conflict with our own bytes is a write of ours whose reply was lost.
	 */
	private static StoreResult conflicted(byte[] bytes, KvFailure.Conflict conflict) {
		Option<KvEntry> current = conflict.current();
		if (current.exists((entry) -> Arrays.equals(entry.value(), bytes))) {
			return new StoreResult.Done(current.get().revision());
		}
		return new StoreResult.Conflict(current.map((entry) -> JobRecord.read(entry.value())),
				current.map(KvEntry::revision).getOrElse(0L));
	}

	private static RecordSeen seen(KvEntry entry) {
		return new RecordSeen(JobRecord.read(entry.value()), entry.revision());
	}

	private static Listing listing(KvSnapshot snapshot) {
		return new Listing(snapshot.entries().stream().map(JobStore::seen).toList(), snapshot.revision());
	}

	/**
	 * Records as of a revision of the service.
	 *
	 * @param records the records
	 * @param revision the revision
	 */
	public record Listing(List<RecordSeen> records, long revision) {

		public Listing {
			records = List.copyOf(records);
		}

	}

}
