package org.citronrelay.internal.claim;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.Outcome;

/**
 * The outcomes that this process knows: its own, in progress or ended, and copies of its
 * peers'. Bounded in bytes; the oldest ended ones go first.
 */
public final class OutcomeLedger {

	private static final int LINE_OVERHEAD_BYTES = 500;

	private final long mostBytes;

	private final Map<String, Line> byClaim = new LinkedHashMap<>();

	private final Map<String, String> latestClaim = new HashMap<>();

	private long bytes;

	public OutcomeLedger(long mostBytes) {
		this.mostBytes = mostBytes;
	}

	/**
	 * Opens a line for a claim of this process, unless the key has one that is in
	 * progress or may have run.
	 * @return the new line, or on the left the one that stands in the way
	 */
	public synchronized Either<Line, Line> open(String key, Claim claim) {
		Option<Line> latest = latest(key);
		if (latest.exists((line) -> !line.surelyNotRun())) {
			return Either.left(latest.get());
		}
		Line line = new Line(key, claim, new CompletableFuture<>(), 0);
		put(line);
		return Either.right(line);
	}

	/**
	 * Writes the outcome of a claim and wakes those that wait for it.
	 */
	public void close(String key, Claim claim, Outcome outcome) {
		settle(key, claim, outcome).complete(outcome);
	}

	/**
	 * Takes a line away and hands an outcome to those that wait for it.
	 */
	public void drop(Line line, Outcome outcome) {
		synchronized (this) {
			remove(line);
		}
		line.outcome().complete(outcome);
	}

	/**
	 * The latest line of a key, if this process knows one.
	 */
	public synchronized Option<Line> latest(String key) {
		return Option.of(this.latestClaim.get(key)).map(this.byClaim::get);
	}

	/**
	 * The line of a claim, if this process knows it.
	 */
	public synchronized Option<Line> ofClaim(String claimId) {
		return Option.of(this.byClaim.get(claimId));
	}

	/**
	 * All lines, the oldest first.
	 */
	public synchronized List<Line> lines() {
		return List.copyOf(this.byClaim.values());
	}

	private synchronized CompletableFuture<Outcome> settle(String key, Claim claim, Outcome outcome) {
		CompletableFuture<Outcome> future = ofClaim(claim.id()).map(Line::outcome)
			.getOrElse(() -> new CompletableFuture<>());
		put(new Line(key, claim, future, size(outcome)));
		evict();
		return future;
	}

	private void put(Line line) {
		Option.of(this.byClaim.get(line.claim().id())).forEach(this::remove);
		this.byClaim.put(line.claim().id(), line);
		this.latestClaim.put(line.key(), line.claim().id());
		this.bytes += line.bytes() + LINE_OVERHEAD_BYTES;
	}

	private void remove(Line line) {
		if (this.byClaim.remove(line.claim().id()) != null) {
			this.latestClaim.remove(line.key(), line.claim().id());
			this.bytes -= line.bytes() + LINE_OVERHEAD_BYTES;
		}
	}

	private void evict() {
		Iterator<Line> oldest = lines().iterator();
		while (this.bytes > this.mostBytes && oldest.hasNext()) {
			Line line = oldest.next();
			if (line.outcome().isDone()) {
				remove(line);
			}
		}
	}

	private static int size(Outcome outcome) {
		return switch (outcome) {
			case Outcome.Done done -> done.body().length;
			case Outcome.NotRun _, Outcome.Unknown _ -> 0;
		};
	}

	/**
	 * What is known of one claim.
	 *
	 * @param key the storage key
	 * @param claim the claim
	 * @param outcome its outcome, in progress until it is complete
	 * @param bytes the size of the answer
	 */
	public record Line(String key, Claim claim, CompletableFuture<Outcome> outcome, int bytes) {

		/**
		 * Whether the claim has ended and its request did not run.
		 */
		public boolean surelyNotRun() {
			return this.outcome.isDone() && this.outcome.join() instanceof Outcome.NotRun;
		}

	}

}
