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
 * The outcomes that this process knows: those of its own claims, in progress or ended,
 * and copies from its peers. Bounded in bytes; the oldest entries that have ended are
 * evicted first.
 */
public final class OutcomeLedger {

	private static final int ENTRY_OVERHEAD_BYTES = 500;

	private final long maxBytes;

	private final Map<String, Entry> entriesByClaim = new LinkedHashMap<>();

	private final Map<String, String> latestClaimByKey = new HashMap<>();

	private long bytes;

	public OutcomeLedger(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Adds an entry for a claim of this process, unless the key has an entry whose
	 * request is in progress or may have run.
	 * @return the new entry, or on the left the existing one
	 */
	public synchronized Either<Entry, Entry> begin(String key, Claim claim) {
		Option<Entry> latest = latest(key);
		if (latest.exists((entry) -> !entry.confirmedNotRun())) {
			return Either.left(latest.get());
		}
		Entry entry = new Entry(key, claim, new CompletableFuture<>(), 0);
		put(entry);
		return Either.right(entry);
	}

	/**
	 * Records the outcome of a claim and completes the future that callers wait for.
	 */
	public void complete(String key, Claim claim, Outcome outcome) {
		putCompleted(key, claim, outcome).complete(outcome);
	}

	/**
	 * Removes an entry and completes its future with an outcome for the callers that wait
	 * for it.
	 */
	public void discard(Entry entry, Outcome outcome) {
		synchronized (this) {
			remove(entry);
		}
		entry.outcome().complete(outcome);
	}

	/**
	 * Returns the latest entry of a key, if this process has one.
	 */
	public synchronized Option<Entry> latest(String key) {
		return Option.of(this.latestClaimByKey.get(key)).map(this.entriesByClaim::get);
	}

	/**
	 * Returns the entry of a claim, if this process has one.
	 */
	public synchronized Option<Entry> ofClaim(String claimId) {
		return Option.of(this.entriesByClaim.get(claimId));
	}

	/**
	 * Returns all entries, the oldest first.
	 */
	public synchronized List<Entry> entries() {
		return List.copyOf(this.entriesByClaim.values());
	}

	private synchronized CompletableFuture<Outcome> putCompleted(String key, Claim claim, Outcome outcome) {
		CompletableFuture<Outcome> future = ofClaim(claim.id()).map(Entry::outcome)
			.getOrElse(() -> new CompletableFuture<>());
		put(new Entry(key, claim, future, size(outcome)));
		evict();
		return future;
	}

	private void put(Entry entry) {
		Option.of(this.entriesByClaim.get(entry.claim().id())).forEach(this::remove);
		this.entriesByClaim.put(entry.claim().id(), entry);
		this.latestClaimByKey.put(entry.key(), entry.claim().id());
		this.bytes += entry.bytes() + ENTRY_OVERHEAD_BYTES;
	}

	private void remove(Entry entry) {
		if (this.entriesByClaim.remove(entry.claim().id()) != null) {
			this.latestClaimByKey.remove(entry.key(), entry.claim().id());
			this.bytes -= entry.bytes() + ENTRY_OVERHEAD_BYTES;
		}
	}

	private void evict() {
		Iterator<Entry> oldest = entries().iterator();
		while (this.bytes > this.maxBytes && oldest.hasNext()) {
			Entry entry = oldest.next();
			if (entry.outcome().isDone()) {
				remove(entry);
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
	 * The state of one claim.
	 *
	 * @param key the storage key
	 * @param claim the claim
	 * @param outcome the outcome; not complete while the request is in progress
	 * @param bytes the size of the body of the answer, in bytes
	 */
	public record Entry(String key, Claim claim, CompletableFuture<Outcome> outcome, int bytes) {

		/**
		 * Whether the claim has ended and it is certain that its request did not run.
		 */
		public boolean confirmedNotRun() {
			return this.outcome.isDone() && this.outcome.join() instanceof Outcome.NotRun;
		}

	}

}
