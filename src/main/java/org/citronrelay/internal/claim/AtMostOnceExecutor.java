package org.citronrelay.internal.claim;

import java.util.UUID;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;
import org.citronrelay.internal.claim.OutcomeLedger.Entry;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.Expectation;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.platform.SharedLease;
import org.citronrelay.internal.time.Ticker;

/**
 * Runs each non-idempotent request at most once across all entry processes. A process
 * first claims the key of the request in the key-value service; the others return the
 * outcome of that process.
 */
public final class AtMostOnceExecutor {

	private static final long PLATFORM_RETRY_MS = 2_000;

	private static final int MAX_ROUNDS = 4;

	private static final int MAX_WRITE_ATTEMPTS = 2;

	/**
	 * The time of an event that never happened, in monotonic milliseconds. Half of the
	 * least value, so that differences do not overflow.
	 */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final KeyValueService kv;

	private final OutcomeLedger ledger;

	private final ClaimPeers peers;

	private final Ticker ticker;

	private final String process;

	private final SharedLease lease;

	private final AtomicLong newestRevision = new AtomicLong();

	private final AtomicLong restoredAt = new AtomicLong(NEVER);

	public AtMostOnceExecutor(KeyValueService kv, OutcomeLedger ledger, ClaimPeers peers, Ticker ticker,
			String process) {
		this.kv = kv;
		this.ledger = ledger;
		this.peers = peers;
		this.ticker = ticker;
		this.process = process;
		this.lease = new SharedLease(kv);
	}

	/**
	 * Runs the request unless an earlier request with the same key ran or may have run.
	 * In that case returns the outcome of the earlier request, or
	 * {@link NotRunCause#KEY_REUSED} if its digest differs.
	 * @param key the storage key of the claim
	 * @param bodyDigest the digest of the service and the body of the request
	 * @param deadline when the caller stops waiting, in monotonic milliseconds
	 * @param run sends the request; called at most once
	 */
	public Outcome runOnce(String key, String bodyDigest, long deadline, Supplier<Outcome> run) {
		Claim claim = new Claim(UUID.randomUUID().toString(), this.process, bodyDigest);
		return this.ledger.begin(key, claim)
			.fold((entry) -> awaitEarlier(entry, bodyDigest, deadline), (entry) -> claimAndRun(entry, deadline, run));
	}

	/**
	 * Returns the outcome of an earlier request with the key that this process knows of,
	 * and waits for it while it is in progress. Returns nothing if the key may be
	 * claimed.
	 */
	public Option<Outcome> knownOutcome(String key, String bodyDigest, long deadline) {
		return this.ledger.latest(key)
			.filter((entry) -> !entry.confirmedNotRun())
			.map((entry) -> awaitEarlier(entry, bodyDigest, deadline));
	}

	/**
	 * Returns the outcome of a key from whichever entry process claimed it, or nothing if
	 * the key was never claimed.
	 * @param waitUntil until when to wait for a request in progress, in monotonic
	 * milliseconds
	 */
	public Either<KvFailure, Option<Outcome>> lookUp(String key, long waitUntil) {
		Option<Outcome> local = this.ledger.latest(key).map((entry) -> await(entry, waitUntil));
		if (local.isDefined()) {
			return Either.right(local);
		}
		return this.kv.read(key)
			.map((stored) -> stored.map((entry) -> outcomeOf(key, Claim.read(entry.value()), waitUntil)));
	}

	/**
	 * Returns the outcome of a claim for a peer that asked for it.
	 * @param waitUntil until when to wait for a request in progress, in monotonic
	 * milliseconds
	 */
	public Outcome answerPeer(String claimId, long waitUntil) {
		return this.ledger.ofClaim(claimId)
			.map((entry) -> await(entry, waitUntil))
			.getOrElse(() -> new Outcome.Unknown("the entry process no longer has the outcome"));
	}

	private Outcome awaitEarlier(Entry entry, String bodyDigest, long deadline) {
		return entry.claim().bodyDigest().equals(bodyDigest) ? await(entry, deadline) : keyReused();
	}

	private Outcome claimAndRun(Entry entry, long deadline, Supplier<Outcome> run) {
		String key = entry.key();
		Claim claim = entry.claim();
		Expectation expectation = Expectation.absent();
		for (int round = 0; round < MAX_ROUNDS; round++) {
			switch (tryClaim(key, claim, expectation)) {
				case ClaimResult.Acquired _ -> {
					return complete(key, claim, run.get());
				}
				case ClaimResult.NotAcquired failed -> {
					return complete(key, claim, failed.outcome());
				}
				case ClaimResult.HeldByOther other -> {
					Outcome earlier = earlierOutcome(key, other.claim(), claim.bodyDigest(), deadline);
					if (!(earlier instanceof Outcome.NotRun notRun) || notRun.cause() == NotRunCause.KEY_REUSED) {
						return withdraw(entry, other.claim(), earlier);
					}
					expectation = Expectation.revision(other.revision());
				}
			}
		}
		return complete(key, claim, new Outcome.NotRun(NotRunCause.OVERLOAD,
				"too many concurrent requests use the same key", PLATFORM_RETRY_MS));
	}

	/**
	 * Stores the claims of this process again after the key-value service was restored
	 * from an older copy.
	 */
	private void restoreClaims(long now) {
		this.restoredAt.set(now);
		Part.REQUEST.logger()
			.warn("The key-value service was restored from an older copy; storing the claims of this process again.");
		this.lease.current(now)
			.forEach((current) -> this.ledger.entries()
				.stream()
				.filter((entry) -> entry.claim().process().equals(this.process) && !entry.confirmedNotRun())
				.forEach((entry) -> this.kv.write(entry.key(), entry.claim().bytes(), Expectation.absent(), current)));
	}

	private ClaimResult tryClaim(String key, Claim claim, Expectation expectation) {
		Either<KvFailure, KvEntry> written = Either.left(new KvFailure.Unavailable("no write was attempted"));
		for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
			Either<KvFailure, String> granted = this.lease.current(this.ticker.millis());
			if (granted.isLeft()) {
				return notAcquired(granted.getLeft());
			}
			long newestBefore = this.newestRevision.get();
			written = this.kv.write(key, claim.bytes(), expectation, granted.get());
			if (written.isRight()) {
				return confirm(key, claim, written.get(), newestBefore);
			}
			if (!(written.getLeft() instanceof KvFailure.LeaseGone)) {
				break;
			}
			this.lease.discard(granted.get());
		}
		return resolveFailedWrite(key, claim, written.getLeft());
	}

	/**
	 * Confirms a claim that was stored. A revision that is not newer than one seen before
	 * the write was sent shows that the key-value service was restored from an older
	 * copy. In that case peers may know a claim that the service has lost, so this
	 * process asks them for it.
	 */
	private ClaimResult confirm(String key, Claim claim, KvEntry entry, long newestBefore) {
		if (entry.revision() <= newestBefore) {
			this.newestRevision.set(entry.revision());
			restoreClaims(this.ticker.millis());
		}
		this.newestRevision.accumulateAndGet(entry.revision(), Math::max);
		if (!recentlyRestored()) {
			return new ClaimResult.Acquired();
		}
		return this.peers.claimOf(key)
			.filter((other) -> !other.id().equals(claim.id()))
			.<ClaimResult>map((other) -> new ClaimResult.HeldByOther(other, entry.revision()))
			.getOrElse(new ClaimResult.Acquired());
	}

	private boolean recentlyRestored() {
		return this.ticker.millis() - this.restoredAt.get() < SharedLease.RETENTION_MS;
	}

	private ClaimResult resolveFailedWrite(String key, Claim claim, KvFailure failure) {
		return switch (failure) {
			case KvFailure.Conflict conflict -> conflict.current()
				.map((entry) -> compareWithStored(claim, entry))
				.getOrElse(
						() -> notAcquired(new KvFailure.Unavailable("the earlier claim of the key no longer exists")));
			case KvFailure.Unavailable _, KvFailure.LeaseGone _ -> notAcquired(failure);
			case KvFailure.Ambiguous _ -> this.kv.read(key)
				.fold(this::notAcquired, (stored) -> stored.map((entry) -> compareWithStored(claim, entry))
					.getOrElse(() -> notAcquired(failure)));
		};
	}

	private ClaimResult compareWithStored(Claim claim, KvEntry entry) {
		Claim stored = Claim.read(entry.value());
		return stored.id().equals(claim.id()) ? new ClaimResult.Acquired()
				: new ClaimResult.HeldByOther(stored, entry.revision());
	}

	private ClaimResult notAcquired(KvFailure failure) {
		return new ClaimResult.NotAcquired(new Outcome.NotRun(NotRunCause.PLATFORM,
				"the claim of the key could not be stored: " + failure.message(), PLATFORM_RETRY_MS));
	}

	private Outcome earlierOutcome(String key, Claim other, String bodyDigest, long deadline) {
		return other.bodyDigest().equals(bodyDigest) ? outcomeOf(key, other, deadline) : keyReused();
	}

	private Outcome outcomeOf(String key, Claim other, long deadline) {
		return this.ledger.ofClaim(other.id())
			.map((entry) -> await(entry, deadline))
			.getOrElse(() -> this.peers.outcome(key, other, Math.max(1, deadline - this.ticker.millis())));
	}

	private Outcome await(Entry entry, long deadline) {
		try {
			return entry.outcome().get(Math.max(0, deadline - this.ticker.millis()), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			return new Outcome.Unknown("the request is still in progress");
		}
		catch (ExecutionException | CancellationException ex) {
			return new Outcome.Unknown("the request failed inside the entry process");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Outcome.Unknown("the entry process stopped waiting");
		}
	}

	private Outcome complete(String key, Claim claim, Outcome outcome) {
		this.ledger.complete(key, claim, outcome);
		if (!(outcome instanceof Outcome.NotRun)) {
			this.peers.replicate(key, claim, outcome);
		}
		return outcome;
	}

	/**
	 * Discards a claim because the key has an earlier one, and records the outcome of the
	 * earlier one if its request is done.
	 */
	private Outcome withdraw(Entry entry, Claim other, Outcome outcome) {
		this.ledger.discard(entry, outcome);
		if (outcome instanceof Outcome.Done) {
			this.ledger.complete(entry.key(), other, outcome);
		}
		return outcome;
	}

	private static Outcome keyReused() {
		return new Outcome.NotRun(NotRunCause.KEY_REUSED, "the key was used before for another service or body", 0);
	}

	/**
	 * Access to the claims and outcomes of the other entry processes.
	 */
	public interface ClaimPeers {

		/**
		 * Returns the outcome of a peer's claim, from that peer or from any peer with a
		 * copy.
		 * @param waitMs how long to wait for a request in progress, in milliseconds
		 */
		Outcome outcome(String key, Claim claim, long waitMs);

		/**
		 * Sends copies of an outcome to peers.
		 */
		void replicate(String key, Claim claim, Outcome outcome);

		/**
		 * Returns the claim of a key that any peer knows; nothing if none does.
		 */
		Option<Claim> claimOf(String key);

		/**
		 * Returns an implementation for a process without peers.
		 */
		static ClaimPeers none() {
			return new ClaimPeers() {

				@Override
				public Outcome outcome(String key, Claim claim, long waitMs) {
					return new Outcome.Unknown("the entry process " + claim.process() + " cannot be reached");
				}

				@Override
				public void replicate(String key, Claim claim, Outcome outcome) {
				}

				@Override
				public Option<Claim> claimOf(String key) {
					return Option.none();
				}

			};
		}

	}

	private sealed interface ClaimResult {

		record Acquired() implements ClaimResult {
		}

		record HeldByOther(Claim claim, long revision) implements ClaimResult {
		}

		record NotAcquired(Outcome outcome) implements ClaimResult {
		}

	}

}
