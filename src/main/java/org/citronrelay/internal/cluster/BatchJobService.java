package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.JobCodec;
import org.citronrelay.internal.cluster.ClusterStore.Put;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.schedule.JobPhase;
import org.citronrelay.internal.schedule.ProgressCodec;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * Accepts and cancels jobs, and reports their phase. Stateless: every answer is read from
 * the store.
 */
public final class BatchJobService {

	/** How long a refused caller waits before a retry, in milliseconds. */
	private static final long RETRY_AFTER_MS = 1_000;

	/**
	 * How long an unanswered write is repeated before its outcome is reported as unknown,
	 * in milliseconds.
	 */
	private static final long WRITE_RETRY_LIMIT_MS = 800;

	/** The pause between two attempts of a write, in milliseconds. */
	private static final long WRITE_RETRY_PAUSE_MS = 20;

	/**
	 * How old a call may be when it is sent to the store, in milliseconds. A process that
	 * stood still does not store what its caller has given up long ago.
	 */
	private static final long MAX_WRITE_AGE_MS = 5_000;

	private static final byte[] CANCEL_MARKER = { '1' };

	private final ClusterStore store;

	private final Ticker ticker;

	private final Supplier<StoreReachability> reachability;

	private final BiConsumer<String, byte[]> onStored;

	/**
	 * Creates a service on a store.
	 * @param reachability whether the store can be reached
	 * @param onStored called with key and value of each record whose creation the store
	 * confirmed
	 */
	public BatchJobService(ClusterStore store, Ticker ticker, Supplier<StoreReachability> reachability,
			BiConsumer<String, byte[]> onStored) {
		this.store = store;
		this.ticker = ticker;
		this.reachability = reachability;
		this.onStored = onStored;
	}

	/**
	 * Stores a job. A job with an id that is already stored is accepted and not stored
	 * again.
	 */
	public Submission submit(BatchJob job) {
		long began = this.ticker.millis();
		Option<String> unreachable = storeUnreachable(began);
		if (unreachable.isDefined()) {
			return new Submission.Refused(unreachable.get(), RETRY_AFTER_MS);
		}
		return switch (create(StoreKeys.JOBS + job.id(), JobCodec.encode(job), nothingStored(job.id()), began)) {
			case CreateResult.Stored _ -> new Submission.Accepted();
			case CreateResult.Exists exists -> existing(job, exists.current());
			case CreateResult.NotStored notStored -> new Submission.Refused(notStored.reason(), RETRY_AFTER_MS);
			case CreateResult.Unknown unknown -> new Submission.Unknown(unknown.reason());
		};
	}

	/**
	 * The condition that neither a job nor a cancellation is stored under an id. Every
	 * submission has it, so that one that takes effect late cannot run a job that was
	 * cancelled or has ended in the meantime.
	 */
	private static Map<String, Long> nothingStored(String id) {
		return Map.of(StoreKeys.JOBS + id, 0L, StoreKeys.CANCELS + id, 0L, StoreKeys.PROGRESS + id, 0L);
	}

	/**
	 * Compares a submission with what is stored under its id. Of a job that has ended
	 * only the progress may be left.
	 */
	private static Submission existing(BatchJob job, Map<String, KvEntry> current) {
		KvEntry record = current.get(StoreKeys.JOBS + job.id());
		KvEntry progress = current.get(StoreKeys.PROGRESS + job.id());
		if (record == null && progress == null) {
			return new Submission.Cancelled();
		}
		boolean same = (record != null) ? sameJob(job, record) : ProgressCodec.isOf(job, progress.value());
		return same ? new Submission.Accepted()
				: new Submission.IdTaken("another job is stored under the id " + job.id());
	}

	/**
	 * Whether a stored job is the submitted one, apart from the time of acceptance.
	 */
	private static boolean sameJob(BatchJob job, KvEntry entry) {
		BatchJob stored = JobCodec.decode(job.id(), entry.value());
		return new BatchJob(job.id(), job.queue(), job.team(), job.payload(), job.steps(), job.repeat(),
				stored.acceptedAtMs())
			.equals(stored);
	}

	/**
	 * Stores the cancellation of a job, for the coordinator to carry out. A job that has
	 * already ended keeps its phase. The cancellation of an unknown id is stored too, so
	 * that a submission of it that is still under way takes no effect.
	 * @return the phase, which is {@code CANCELLED} once the cancellation is stored; none
	 * if there is no such job; or why the cancellation is not confirmed
	 */
	public Either<String, Option<JobPhase>> cancel(String id) {
		long deadline = this.ticker.millis() + WRITE_RETRY_LIMIT_MS;
		Option<String> unreachable = storeUnreachable(this.ticker.millis());
		if (unreachable.isDefined()) {
			return Either.left(unreachable.get());
		}
		Option<Either<String, Option<JobPhase>>> outcome = tryCancel(id);
		while (outcome.isEmpty() && this.ticker.millis() < deadline) {
			outcome = tryCancel(id);
		}
		return outcome.getOrElse(() -> Either.left("the job was submitted or has ended in the meantime"));
	}

	/**
	 * Stores a cancellation on the condition that the job's record is the one that was
	 * read.
	 * @return none if it is not, since the job was submitted or has ended in the meantime
	 */
	private Option<Either<String, Option<JobPhase>>> tryCancel(String id) {
		Either<StoreFailure, Option<JobPhase>> phase = progress(id);
		if (phase.isLeft() || phase.get().exists(JobPhase::ended)) {
			return Option.some(phase.mapLeft(StoreFailure::message));
		}
		Either<StoreFailure, Option<KvEntry>> read = this.store.read(StoreKeys.JOBS + id);
		if (read.isLeft()) {
			return Option.some(Either.left(read.getLeft().message()));
		}
		Option<KvEntry> record = read.get();
		Map<String, Long> expected = record
			.map((entry) -> Map.of(StoreKeys.JOBS + id, entry.revision(), StoreKeys.CANCELS + id, 0L))
			.getOrElse(nothingStored(id));
		Option<JobPhase> cancelled = record.map((_) -> JobPhase.CANCELLED);
		return switch (create(StoreKeys.CANCELS + id, CANCEL_MARKER, expected, this.ticker.millis())) {
			case CreateResult.Stored _ -> Option.some(Either.right(cancelled));
			case CreateResult.Exists exists when exists.holdsBut(StoreKeys.CANCELS + id, expected) ->
				Option.some(Either.right(cancelled));
			case CreateResult.Exists _ -> Option.none();
			case CreateResult.NotStored notStored -> Option.some(Either.left(notStored.reason()));
			case CreateResult.Unknown unknown -> Option.some(Either.left(unknown.reason()));
		};
	}

	/**
	 * Looks up the phase of a job.
	 * @return the phase, none if there is no such job, or why it cannot be read
	 */
	public Either<String, Option<JobPhase>> phase(String id) {
		Option<String> unreachable = storeUnreachable(this.ticker.millis());
		if (unreachable.isDefined()) {
			return Either.left(unreachable.get());
		}
		return storedPhase(id).mapLeft(StoreFailure::message);
	}

	/**
	 * Reads the progress of a job, then its record. The job may end between the two, and
	 * then has progress only.
	 */
	private Either<StoreFailure, Option<JobPhase>> storedPhase(String id) {
		return progress(id)
			.flatMap((progress) -> progress.isDefined() ? Either.right(progress) : this.store.read(StoreKeys.JOBS + id)
				.flatMap((job) -> job.isDefined() ? Either.right(Option.some(JobPhase.QUEUED)) : progress(id)));
	}

	private Either<StoreFailure, Option<JobPhase>> progress(String id) {
		return this.store.read(StoreKeys.PROGRESS + id)
			.map((found) -> found.map((entry) -> ProgressCodec.phase(entry.value())));
	}

	/**
	 * Returns how many jobs of a queue have not started, as last published by the
	 * coordinator; 0 for an unknown queue.
	 */
	public Either<String, Integer> queuedJobs(String queue) {
		return this.store.read(StoreKeys.QUEUED_JOBS)
			.mapLeft(StoreFailure::message)
			.map((entry) -> entry.map((found) -> Json.parseTrusted(found.value()))
				.map((JsonNode counts) -> counts.path(queue).asInt())
				.getOrElse(0));
	}

	/**
	 * Returns why callers are refused without a call to the store, none if it can be
	 * reached. Probes go on meanwhile, so the end of an outage is noticed.
	 */
	private Option<String> storeUnreachable(long now) {
		StoreReachability state = this.reachability.get();
		return state.lost()
				? Option.some(
						"the store has not been reachable for " + (now - state.lostSince()) + " ms: " + state.reason())
				: Option.none();
	}

	/**
	 * Creates a key.
	 * @param expected the revisions that keys must have, also the one to create
	 * @param began when the caller's call began, in monotonic milliseconds
	 */
	private CreateResult create(String key, byte[] value, Map<String, Long> expected, long began) {
		Transaction create = new Transaction(expected, List.of(new Put(key, value, "")), List.of());
		long deadline = began + WRITE_RETRY_LIMIT_MS;
		Option<StoreFailure> ambiguous = Option.none();
		while (true) {
			long age = this.ticker.millis() - began;
			if (age > MAX_WRITE_AGE_MS) {
				String reason = "the process stood still for " + age + " ms";
				return ambiguous.isEmpty() ? new CreateResult.NotStored(reason) : new CreateResult.Unknown(reason);
			}
			Either<StoreFailure, Long> written = this.store.transact(create);
			if (written.isRight()) {
				this.onStored.accept(key, value);
				return new CreateResult.Stored();
			}
			if (written.getLeft() instanceof StoreFailure.Conflict conflict && !conflict.current().isEmpty()) {
				return new CreateResult.Exists(
						conflict.current().stream().collect(Collectors.toMap(KvEntry::key, Function.identity())));
			}
			if (written.getLeft() instanceof StoreFailure.Ambiguous
					|| written.getLeft() instanceof StoreFailure.Conflict) {
				ambiguous = Option.some(written.getLeft());
			}
			else if (ambiguous.isEmpty()) {
				return new CreateResult.NotStored(written.getLeft().message());
			}
			if (this.ticker.millis() >= deadline || !Pause.millis(WRITE_RETRY_PAUSE_MS)) {
				return new CreateResult.Unknown(ambiguous.get().message());
			}
		}
	}

	/**
	 * The outcome of creating a key that is written once.
	 */
	private sealed interface CreateResult {

		record Stored() implements CreateResult {
		}

		record Exists(Map<String, KvEntry> current) implements CreateResult {

			/**
			 * Whether the key exists, and all other expectations hold.
			 */
			boolean holdsBut(String key, Map<String, Long> expected) {
				return this.current.containsKey(key) && expected.entrySet()
					.stream()
					.filter((other) -> !other.getKey().equals(key))
					.allMatch((other) -> Option.of(this.current.get(other.getKey()))
						.map(KvEntry::revision)
						.getOrElse(0L)
						.equals(other.getValue()));
			}

		}

		record NotStored(String reason) implements CreateResult {
		}

		record Unknown(String reason) implements CreateResult {
		}

	}

}
