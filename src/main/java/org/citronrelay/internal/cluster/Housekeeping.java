package org.citronrelay.internal.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.schedule.ClusterScheduler;

/**
 * The periodic work of a coordinator: publishes the number of queued jobs of each queue
 * and removes the records of jobs that ended long ago. Not thread-safe.
 */
final class Housekeeping {

	/**
	 * The time between two publications of the number of queued jobs, in milliseconds.
	 */
	private static final long PUBLISH_INTERVAL_MS = 500;

	/** The time between two sweeps of ended jobs, in milliseconds. */
	private static final long SWEEP_INTERVAL_MS = 5_000;

	/** The time until the next sweep while ended jobs remain, in milliseconds. */
	private static final long SWEEP_BACKLOG_INTERVAL_MS = 250;

	/**
	 * How many removals fit into one transaction, of which one entry is the check of the
	 * term.
	 */
	private static final int SWEEP_BATCH_SIZE = (ClusterStore.TRANSACTION_ENTRIES - 1) / Removal.ENTRIES;

	private final ClusterStore store;

	private final Executor executor;

	private final long token;

	private final long keepEndedMs;

	private final Consumer<CoordinatorEvent> events;

	private ClusterScheduler.Statistics statistics = ClusterScheduler.Statistics.NONE;

	private final OwnedRecord queuedJobsRecord;

	/** The counts in the store, null if they are not known. */
	private volatile Map<String, Integer> published;

	private volatile boolean publishing;

	private long publishAt;

	private long sweepAt;

	/**
	 * Creates the housekeeping of one term.
	 * @param token the fencing token of the term
	 * @param keepEndedMs how long the records of ended jobs are kept, in milliseconds
	 * @param events told of each job whose records were removed, from any thread
	 */
	Housekeeping(ClusterStore store, Executor executor, long token, long keepEndedMs,
			Consumer<CoordinatorEvent> events) {
		this.store = store;
		this.executor = executor;
		this.token = token;
		this.keepEndedMs = keepEndedMs;
		this.events = events;
		this.queuedJobsRecord = new OwnedRecord(store, StoreKeys.QUEUED_JOBS);
	}

	/**
	 * Publishes and sweeps if due.
	 * @param now the present time, in monotonic milliseconds
	 * @return the statistics of the scheduler, as of the last publication
	 */
	ClusterScheduler.Statistics run(ClusterScheduler scheduler, long now) {
		if (now >= this.publishAt) {
			this.publishAt = now + PUBLISH_INTERVAL_MS;
			this.statistics = scheduler.statistics();
			publish(scheduler.queuedJobsByQueue());
		}
		if (now >= this.sweepAt) {
			List<Removal> due = new ArrayList<>();
			scheduler.endedBefore(now - this.keepEndedMs)
				.forEach((job, revision) -> due.add(Removal.ofEndedJob(job, revision)));
			scheduler.cancelRequestsWithoutJobBefore(now - this.keepEndedMs)
				.forEach((job, revision) -> due.add(Removal.ofCancelRequest(job, revision)));
			sweep(due, now);
		}
		return this.statistics;
	}

	/**
	 * Writes the counts if they have changed, one write at a time.
	 */
	private void publish(Map<String, Integer> queuedJobs) {
		if (this.publishing || queuedJobs.equals(this.published)) {
			return;
		}
		this.publishing = true;
		ObjectNode document = Json.object();
		queuedJobs.forEach(document::put);
		this.executor.execute(() -> {
			Either<StoreFailure, Long> result = ErrorBoundary.call("publish the number of queued jobs",
					() -> this.queuedJobsRecord.write(Json.bytes(document), "",
							Map.of(StoreKeys.COORDINATOR, this.token)),
					(error) -> Either.left(new StoreFailure.Ambiguous("the answer could not be read: " + error)));
			this.published = result.isRight() ? queuedJobs : null;
			this.publishing = false;
			result.peekLeft((failure) -> Part.PLATFORM.logger()
				.atWarn()
				.addKeyValue("reason", failure.message())
				.log("Could not publish the number of queued jobs; retries with the next publication."));
		});
	}

	/**
	 * Removes records, each only while it is the one that is known: the caller may have
	 * submitted the job again since.
	 */
	private void sweep(List<Removal> due, long now) {
		this.sweepAt = now + ((due.size() > SWEEP_BATCH_SIZE) ? SWEEP_BACKLOG_INTERVAL_MS : SWEEP_INTERVAL_MS);
		if (due.isEmpty()) {
			return;
		}
		Map<String, Long> expected = new HashMap<>(Map.of(StoreKeys.COORDINATOR, this.token));
		List<String> removes = new ArrayList<>();
		List<Removal> batch = due.stream().limit(SWEEP_BATCH_SIZE).toList();
		batch.forEach((removal) -> {
			expected.putAll(removal.expected());
			removes.addAll(removal.keys());
		});
		Transaction transaction = new Transaction(expected, List.of(), removes);
		this.executor.execute(() -> this.store.transact(transaction)
			.peek((revision) -> batch.forEach((removal) -> this.events.accept(removal.event())))
			.peekLeft((failure) -> {
				Part.PLATFORM.logger()
					.atWarn()
					.addKeyValue("reason", failure.message())
					.addKeyValue("keysToRemove", removes.size())
					.log("Could not remove the records of ended jobs; retries with the next sweep.");
				if (failure instanceof StoreFailure.Conflict conflict) {
					batch.stream()
						.filter((removal) -> !removal.stillDue(conflict))
						.forEach((removal) -> this.events.accept(removal.event()));
				}
			}));
	}

}
