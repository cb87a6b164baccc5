package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

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
 * Takes jobs in, and tells what became of them. It keeps nothing: what it says is what
 * the store holds.
 */
public final class BatchDesk {

	/** When to come back while the store does not answer, in milliseconds. */
	private static final long STORE_AWAY_MS = 1_000;

	/** How long the store may be silent before callers are turned away at once, in ms. */
	private static final long SILENT_MS = 2_000;

	/**
	 * How long a write without an answer is repeated before the caller is told, in ms.
	 */
	private static final long REPEAT_MS = 800;

	/** The pause between two writes, in milliseconds. */
	private static final long PAUSE_MS = 20;

	private static final byte[] MARK = { '1' };

	private final ClusterStore store;

	private final Ticker ticker;

	private final LongSupplier heardAt;

	private final BiConsumer<String, byte[]> notices;

	/**
	 * A desk over a store.
	 * @param heardAt when the store last answered this process, in ticks
	 * @param notices told of each record that was surely created, with its key
	 */
	public BatchDesk(ClusterStore store, Ticker ticker, LongSupplier heardAt, BiConsumer<String, byte[]> notices) {
		this.store = store;
		this.ticker = ticker;
		this.heardAt = heardAt;
		this.notices = notices;
	}

	/**
	 * Stores a job, once for each id.
	 */
	public Submission submit(BatchJob job) {
		Option<String> away = away(this.ticker.millis());
		if (away.isDefined()) {
			return new Submission.Refused(away.get(), STORE_AWAY_MS);
		}
		return switch (create(Keys.JOBS + job.id(), JobCodec.encode(job))) {
			case Created.Yes _ -> new Submission.Accepted();
			case Created.No no -> new Submission.Refused(no.reason(), STORE_AWAY_MS);
			case Created.Open open -> new Submission.Unknown(open.reason());
		};
	}

	/**
	 * Takes a job back; nothing where there is no such job.
	 */
	public Either<String, Option<JobPhase>> cancel(String id) {
		return phase(id).flatMap((phase) -> {
			if (phase.isEmpty() || phase.get().ended()) {
				return Either.right(phase);
			}
			return switch (create(Keys.CANCELS + id, MARK)) {
				case Created.Yes _ -> Either.right(Option.some(JobPhase.CANCELLED));
				case Created.No no -> Either.left(no.reason());
				case Created.Open open -> Either.left(open.reason());
			};
		});
	}

	/**
	 * How far a job is; nothing where there is no such job, the reason where that is not
	 * known.
	 */
	public Either<String, Option<JobPhase>> phase(String id) {
		Option<String> away = away(this.ticker.millis());
		if (away.isDefined()) {
			return Either.left(away.get());
		}
		Either<StoreFailure, Option<KvEntry>> progress = this.store.read(Keys.PROGRESS + id);
		if (progress.isLeft()) {
			return Either.left(progress.getLeft().phrase());
		}
		if (progress.get().isDefined()) {
			return Either.right(progress.get().map((entry) -> ProgressCodec.phase(entry.value())));
		}
		return this.store.read(Keys.JOBS + id)
			.mapLeft(StoreFailure::phrase)
			.map((job) -> job.map((entry) -> JobPhase.QUEUED));
	}

	/**
	 * How many jobs of a queue have not begun, as the coordinator last counted.
	 */
	public Either<String, Integer> waiting(String queue) {
		return this.store.read(Keys.WAITING)
			.mapLeft(StoreFailure::phrase)
			.map((entry) -> entry.map((found) -> Json.parseOwn(found.value()))
				.map((JsonNode counts) -> counts.path(queue).asInt())
				.getOrElse(0));
	}

	/**
	 * Why nothing can be asked of the store now, nothing where it can. Other calls go on
	 * asking it, so its return is noticed.
	 */
	private Option<String> away(long now) {
		long silentMs = now - this.heardAt.getAsLong();
		return (silentMs > SILENT_MS) ? Option.some("the store has not answered for " + silentMs + " ms")
				: Option.none();
	}

	private Created create(String key, byte[] value) {
		Transaction create = new Transaction(Map.of(key, 0L), List.of(new Put(key, value, "")), List.of());
		long deadline = this.ticker.millis() + REPEAT_MS;
		Option<StoreFailure> open = Option.none();
		while (true) {
			Either<StoreFailure, Long> written = this.store.transact(create);
			if (written.isRight()) {
				this.notices.accept(key, value);
				return new Created.Yes();
			}
			if (written.getLeft() instanceof StoreFailure.Conflict) {
				return new Created.Yes();
			}
			if (written.getLeft() instanceof StoreFailure.Ambiguous) {
				open = Option.some(written.getLeft());
			}
			else if (open.isEmpty()) {
				return new Created.No(written.getLeft().phrase());
			}
			if (this.ticker.millis() >= deadline || !Pause.millis(PAUSE_MS)) {
				return new Created.Open(open.get().phrase());
			}
		}
	}

	/**
	 * Whether a key that is written once is there.
	 */
	private sealed interface Created {

		record Yes() implements Created {
		}

		record No(String reason) implements Created {
		}

		record Open(String reason) implements Created {
		}

	}

}
