package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.cluster.ClusterStore.Put;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.schedule.JobBook;

/**
 * What a coordinator does beside deciding: it publishes how many jobs wait, and removes
 * the records of jobs that ended long ago. Belongs to one thread.
 */
final class Housekeeping {

	/** How often the numbers of waiting jobs are published, in milliseconds. */
	private static final long PUBLISH_MS = 500;

	/** How often ended jobs are looked for, in milliseconds. */
	private static final long SWEEP_MS = 5_000;

	/** How long until the next are removed while there are more, in milliseconds. */
	private static final long SWEEP_AGAIN_MS = 250;

	/** How many ended jobs are removed at a time; each has up to three keys. */
	private static final int SWEPT_AT_ONCE = 10;

	private final ClusterStore store;

	private final Executor executor;

	private final long token;

	private final long keepEndedMs;

	private JobBook.Figures figures = JobBook.Figures.NONE;

	private volatile Map<String, Integer> published = Map.of();

	private long publishAt;

	private long sweepAt;

	/**
	 * The housekeeping of one term.
	 * @param token the token of the term
	 * @param keepEndedMs how long ended jobs are known, in milliseconds
	 */
	Housekeeping(ClusterStore store, Executor executor, long token, long keepEndedMs) {
		this.store = store;
		this.executor = executor;
		this.token = token;
		this.keepEndedMs = keepEndedMs;
	}

	/**
	 * Does what is due; gives the newest figures of the book.
	 * @param now the present time in ticks
	 */
	JobBook.Figures run(JobBook book, long now) {
		if (now >= this.publishAt) {
			this.publishAt = now + PUBLISH_MS;
			this.figures = book.figures();
			publish(book.waiting());
		}
		if (now >= this.sweepAt) {
			sweep(book.endedBefore(now - this.keepEndedMs), now);
		}
		return this.figures;
	}

	private void publish(Map<String, Integer> waiting) {
		if (waiting.equals(this.published)) {
			return;
		}
		this.published = waiting;
		ObjectNode document = Json.object();
		waiting.forEach(document::put);
		write(List.of(new Put(Keys.WAITING, Json.bytes(document), "")), List.of(), () -> this.published = Map.of());
	}

	private void sweep(List<String> ended, long now) {
		this.sweepAt = now + ((ended.size() > SWEPT_AT_ONCE) ? SWEEP_AGAIN_MS : SWEEP_MS);
		List<String> swept = ended.subList(0, Math.min(SWEPT_AT_ONCE, ended.size()));
		if (!swept.isEmpty()) {
			write(List.of(),
					swept.stream()
						.flatMap((id) -> List.of(Keys.JOBS + id, Keys.CANCELS + id, Keys.PROGRESS + id).stream())
						.toList(),
					() -> {
					});
		}
	}

	private void write(List<Put> puts, List<String> removes, Runnable onFailure) {
		Transaction transaction = new Transaction(Map.of(Keys.COORDINATOR, this.token), puts, removes);
		this.executor.execute(() -> this.store.transact(transaction).peekLeft((failure) -> {
			onFailure.run();
			Part.PLATFORM.logger()
				.atWarn()
				.addKeyValue("reason", failure.phrase())
				.addKeyValue("removes", removes.size())
				.log("Counts were not published, or ended jobs not removed; tries again.");
		}));
	}

}
