package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.cluster.ClusterStore.Put;
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

	/** How many ended jobs one transaction removes; each has up to three keys. */
	private static final int SWEEP_BATCH_SIZE = 10;

	private final ClusterStore store;

	private final Executor executor;

	private final long token;

	private final long keepEndedMs;

	private ClusterScheduler.Statistics statistics = ClusterScheduler.Statistics.NONE;

	private volatile Map<String, Integer> published = Map.of();

	private long publishAt;

	private long sweepAt;

	/**
	 * Creates the housekeeping of one term.
	 * @param token the fencing token of the term
	 * @param keepEndedMs how long the records of ended jobs are kept, in milliseconds
	 */
	Housekeeping(ClusterStore store, Executor executor, long token, long keepEndedMs) {
		this.store = store;
		this.executor = executor;
		this.token = token;
		this.keepEndedMs = keepEndedMs;
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
			sweep(scheduler.endedBefore(now - this.keepEndedMs), now);
		}
		return this.statistics;
	}

	private void publish(Map<String, Integer> queuedJobs) {
		if (queuedJobs.equals(this.published)) {
			return;
		}
		this.published = queuedJobs;
		ObjectNode document = Json.object();
		queuedJobs.forEach(document::put);
		write(List.of(new Put(StoreKeys.QUEUED_JOBS, Json.bytes(document), "")), List.of(),
				() -> this.published = Map.of());
	}

	private void sweep(List<String> ended, long now) {
		this.sweepAt = now + ((ended.size() > SWEEP_BATCH_SIZE) ? SWEEP_BACKLOG_INTERVAL_MS : SWEEP_INTERVAL_MS);
		List<String> swept = ended.subList(0, Math.min(SWEEP_BATCH_SIZE, ended.size()));
		if (!swept.isEmpty()) {
			write(List.of(), swept.stream()
				.flatMap((id) -> List.of(StoreKeys.JOBS + id, StoreKeys.CANCELS + id, StoreKeys.PROGRESS + id).stream())
				.toList(), () -> {
				});
		}
	}

	private void write(List<Put> puts, List<String> removes, Runnable onFailure) {
		Transaction transaction = new Transaction(Map.of(StoreKeys.COORDINATOR, this.token), puts, removes);
		this.executor.execute(() -> this.store.transact(transaction).peekLeft((failure) -> {
			onFailure.run();
			Part.PLATFORM.logger()
				.atWarn()
				.addKeyValue("reason", failure.message())
				.addKeyValue("keysToRemove", removes.size())
				.log("Could not publish the number of queued jobs or remove ended jobs; retries later.");
		}));
	}

}
