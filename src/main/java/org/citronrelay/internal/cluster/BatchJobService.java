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
		Option<String> unreachable = storeUnreachable(this.ticker.millis());
		if (unreachable.isDefined()) {
			return new Submission.Refused(unreachable.get(), RETRY_AFTER_MS);
		}
		Map<String, Long> expected = Map.of(StoreKeys.JOBS + job.id(), 0L, StoreKeys.PROGRESS + job.id(), 0L);
		return switch (create(StoreKeys.JOBS + job.id(), JobCodec.encode(job), expected)) {
			case CreateResult.Stored _ -> new Submission.Accepted();
			case CreateResult.Exists exists -> sameJob(job, exists.current()) ? new Submission.Accepted()
					: new Submission.IdTaken("another job is stored under the id " + job.id());
			case CreateResult.NotStored notStored -> new Submission.Refused(notStored.reason(), RETRY_AFTER_MS);
			case CreateResult.Unknown unknown -> new Submission.Unknown(unknown.reason());
		};
	}

	/**
	 * Whether the stored job is the submitted one, apart from the time of acceptance. Of
	 * a job that has ended only the progress may be left.
	 */
	private static boolean sameJob(BatchJob job, Map<String, KvEntry> current) {
		KvEntry entry = current.get(StoreKeys.JOBS + job.id());
		if (entry == null) {
			return ProgressCodec.isOf(job, current.get(StoreKeys.PROGRESS + job.id()).value());
		}
		BatchJob stored = JobCodec.decode(job.id(), entry.value());
		return new BatchJob(job.id(), job.queue(), job.team(), job.payload(), job.steps(), job.repeat(),
				stored.acceptedAtMs())
			.equals(stored);
	}

	/**
	 * Stores the cancellation of a job, for the coordinator to carry out. A job that has
	 * already ended keeps its phase.
	 * @return the phase, which is {@code CANCELLED} once the cancellation is stored; none
	 * if there is no such job; or why the cancellation is not confirmed
	 */
	public Either<String, Option<JobPhase>> cancel(String id) {
		return phase(id).flatMap((phase) -> {
			if (phase.isEmpty() || phase.get().ended()) {
				return Either.right(phase);
			}
			return switch (create(StoreKeys.CANCELS + id, CANCEL_MARKER, Map.of(StoreKeys.CANCELS + id, 0L))) {
				case CreateResult.Stored _, CreateResult.Exists _ -> Either.right(Option.some(JobPhase.CANCELLED));
				case CreateResult.NotStored notStored -> Either.left(notStored.reason());
				case CreateResult.Unknown unknown -> Either.left(unknown.reason());
			};
		});
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

	private CreateResult create(String key, byte[] value, Map<String, Long> expected) {
		Transaction create = new Transaction(expected, List.of(new Put(key, value, "")), List.of());
		long deadline = this.ticker.millis() + WRITE_RETRY_LIMIT_MS;
		Option<StoreFailure> ambiguous = Option.none();
		while (true) {
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
		}

		record NotStored(String reason) implements CreateResult {
		}

		record Unknown(String reason) implements CreateResult {
		}

	}

}
