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
import org.citronrelay.internal.claim.OutcomeLedger.Line;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.Expectation;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.platform.SharedLease;
import org.citronrelay.internal.time.Ticker;

/**
 * Runs a non-idempotent request at most once over all entry processes.
 */
public final class ClaimDesk {

	private static final long PLATFORM_RETRY_MS = 2_000;

	private static final int ROUNDS = 4;

	private static final int WRITE_ATTEMPTS = 2;

	/**
	 * Long ago, and far enough from the least number that differences do not overflow.
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

	public ClaimDesk(KeyValueService kv, OutcomeLedger ledger, ClaimPeers peers, Ticker ticker, String process) {
		this.kv = kv;
		this.ledger = ledger;
		this.peers = peers;
		this.ticker = ticker;
		this.process = process;
		this.lease = new SharedLease(kv);
	}

	/**
	 * Runs the request unless its key was used before; then gives the outcome of that
	 * use.
	 * @param key the storage key of the claim
	 * @param bodyDigest the digest of what is asked
	 * @param deadline when the caller stops waiting, in monotonic milliseconds
	 * @param run sends the request; called at most once
	 */
	public Outcome runOnce(String key, String bodyDigest, long deadline, Supplier<Outcome> run) {
		Claim mine = new Claim(UUID.randomUUID().toString(), this.process, bodyDigest);
		return this.ledger.open(key, mine)
			.fold((line) -> join(line, bodyDigest, deadline), (line) -> claimAndRun(line, deadline, run));
	}

	/**
	 * The outcome of an earlier use of the key that this process knows of, waiting for it
	 * while it is in progress; nothing when the key may be claimed.
	 */
	public Option<Outcome> known(String key, String bodyDigest, long deadline) {
		return this.ledger.latest(key)
			.filter((line) -> !line.surelyNotRun())
			.map((line) -> join(line, bodyDigest, deadline));
	}

	/**
	 * What became of a key anywhere: the outcome, or nothing when it was never claimed.
	 * @param waitUntil until when to wait for one in progress, in monotonic milliseconds
	 */
	public Either<KvFailure, Option<Outcome>> lookUp(String key, long waitUntil) {
		Option<Outcome> here = this.ledger.latest(key).map((line) -> await(line, waitUntil));
		if (here.isDefined()) {
			return Either.right(here);
		}
		return this.kv.read(key)
			.map((stored) -> stored.map((entry) -> outcomeOf(key, Claim.read(entry.value()), waitUntil)));
	}

	/**
	 * Answers a peer that asks for the outcome of a claim.
	 */
	public Outcome answerPeer(String claimId, long waitUntil) {
		return this.ledger.ofClaim(claimId)
			.map((line) -> await(line, waitUntil))
			.getOrElse(() -> new Outcome.Unknown("the outcome is no longer kept"));
	}

	private Outcome join(Line line, String bodyDigest, long deadline) {
		return line.claim().bodyDigest().equals(bodyDigest) ? await(line, deadline) : keyReused();
	}

	private Outcome claimAndRun(Line line, long deadline, Supplier<Outcome> run) {
		String key = line.key();
		Claim mine = line.claim();
		Expectation expectation = Expectation.absent();
		for (int round = 0; round < ROUNDS; round++) {
			switch (claim(key, mine, expectation)) {
				case Claimed.Mine _ -> {
					return settle(key, mine, run.get());
				}
				case Claimed.Failed failed -> {
					return settle(key, mine, failed.outcome());
				}
				case Claimed.Other other -> {
					Outcome earlier = earlier(key, other.claim(), mine.bodyDigest(), deadline);
					if (!(earlier instanceof Outcome.NotRun notRun) || notRun.cause() == NotRunCause.KEY_REUSED) {
						return abandon(line, other.claim(), earlier);
					}
					expectation = Expectation.revision(other.revision());
				}
			}
		}
		return settle(key, mine,
				new Outcome.NotRun(NotRunCause.OVERLOAD, "many callers use the key at once", PLATFORM_RETRY_MS));
	}

	/**
	 * Stores the claims of this process again after the service went back to an older
	 * copy.
	 */
	private void restoreClaims(long now) {
		this.restoredAt.set(now);
		Part.REQUEST.logger().warn("The key-value service went back to an older copy, storing claims again.");
		this.lease.current(now)
			.forEach((current) -> this.ledger.lines()
				.stream()
				.filter((line) -> line.claim().process().equals(this.process) && !line.surelyNotRun())
				.forEach((line) -> this.kv.write(line.key(), line.claim().bytes(), Expectation.absent(), current)));
	}

	private Claimed claim(String key, Claim mine, Expectation expectation) {
		Either<KvFailure, KvEntry> written = Either.left(new KvFailure.Unavailable("not tried"));
		for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
			Either<KvFailure, String> granted = this.lease.current(this.ticker.millis());
			if (granted.isLeft()) {
				return notClaimed(granted.getLeft());
			}
			long newestBefore = this.newestRevision.get();
			written = this.kv.write(key, mine.bytes(), expectation, granted.get());
			if (written.isRight()) {
				return confirm(key, mine, written.get(), newestBefore);
			}
			if (!(written.getLeft() instanceof KvFailure.LeaseGone)) {
				break;
			}
			this.lease.lost(granted.get());
		}
		return resolve(key, mine, written.getLeft());
	}

	/**
	 * Takes a claim that was stored. A revision that is not newer than one seen before
	 * the write was sent shows that the service went back to an older copy; then peers
	 * may know a claim that the service has forgotten.
	 */
	private Claimed confirm(String key, Claim mine, KvEntry entry, long newestBefore) {
		if (entry.revision() <= newestBefore) {
			this.newestRevision.set(entry.revision());
			restoreClaims(this.ticker.millis());
		}
		this.newestRevision.accumulateAndGet(entry.revision(), Math::max);
		if (!recentlyRestored()) {
			return new Claimed.Mine();
		}
		return this.peers.claimOf(key)
			.filter((other) -> !other.id().equals(mine.id()))
			.<Claimed>map((other) -> new Claimed.Other(other, entry.revision()))
			.getOrElse(new Claimed.Mine());
	}

	private boolean recentlyRestored() {
		return this.ticker.millis() - this.restoredAt.get() < SharedLease.KEPT_MS;
	}

	private Claimed resolve(String key, Claim mine, KvFailure failure) {
		return switch (failure) {
			case KvFailure.Conflict conflict -> conflict.current()
				.map((entry) -> owned(mine, entry))
				.getOrElse(() -> notClaimed(new KvFailure.Unavailable("the claim went away")));
			case KvFailure.Unavailable _, KvFailure.LeaseGone _ -> notClaimed(failure);
			case KvFailure.Ambiguous _ -> this.kv.read(key)
				.fold(this::notClaimed,
						(stored) -> stored.map((entry) -> owned(mine, entry)).getOrElse(() -> notClaimed(failure)));
		};
	}

	private Claimed owned(Claim mine, KvEntry entry) {
		Claim stored = Claim.read(entry.value());
		return stored.id().equals(mine.id()) ? new Claimed.Mine() : new Claimed.Other(stored, entry.revision());
	}

	private Claimed notClaimed(KvFailure failure) {
		return new Claimed.Failed(new Outcome.NotRun(NotRunCause.PLATFORM,
				"the claim of the key could not be stored, " + failure.phrase(), PLATFORM_RETRY_MS));
	}

	private Outcome earlier(String key, Claim other, String bodyDigest, long deadline) {
		return other.bodyDigest().equals(bodyDigest) ? outcomeOf(key, other, deadline) : keyReused();
	}

	private Outcome outcomeOf(String key, Claim other, long deadline) {
		return this.ledger.ofClaim(other.id())
			.map((line) -> await(line, deadline))
			.getOrElse(() -> this.peers.outcome(key, other, Math.max(1, deadline - this.ticker.millis())));
	}

	private Outcome await(Line line, long deadline) {
		try {
			return line.outcome().get(Math.max(0, deadline - this.ticker.millis()), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			return new Outcome.Unknown("still in progress");
		}
		catch (ExecutionException | CancellationException ex) {
			return new Outcome.Unknown("the request failed inside the entry process");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Outcome.Unknown("the entry process stopped waiting");
		}
	}

	private Outcome settle(String key, Claim mine, Outcome outcome) {
		this.ledger.close(key, mine, outcome);
		if (!(outcome instanceof Outcome.NotRun)) {
			this.peers.copy(key, mine, outcome);
		}
		return outcome;
	}

	/**
	 * Gives up a claim that was never stored for the one that came first.
	 */
	private Outcome abandon(Line line, Claim other, Outcome outcome) {
		this.ledger.drop(line, outcome);
		if (outcome instanceof Outcome.Done) {
			this.ledger.close(line.key(), other, outcome);
		}
		return outcome;
	}

	private static Outcome keyReused() {
		return new Outcome.NotRun(NotRunCause.KEY_REUSED, "the key was used before for another service or body", 0);
	}

	/**
	 * The other entry processes as this stage needs them.
	 */
	public interface ClaimPeers {

		/**
		 * The outcome of a peer's claim, from the peer or from whoever has a copy.
		 */
		Outcome outcome(String key, Claim claim, long waitMs);

		/**
		 * Gives copies of an outcome to peers.
		 */
		void copy(String key, Claim claim, Outcome outcome);

		/**
		 * The claim of a key in the ledger of any peer.
		 */
		Option<Claim> claimOf(String key);

		/**
		 * No peers at all.
		 */
		static ClaimPeers none() {
			return new ClaimPeers() {

				@Override
				public Outcome outcome(String key, Claim claim, long waitMs) {
					return new Outcome.Unknown("the entry process " + claim.process() + " cannot be asked");
				}

				@Override
				public void copy(String key, Claim claim, Outcome outcome) {
				}

				@Override
				public Option<Claim> claimOf(String key) {
					return Option.none();
				}

			};
		}

	}

	private sealed interface Claimed {

		record Mine() implements Claimed {
		}

		record Other(Claim claim, long revision) implements Claimed {
		}

		record Failed(Outcome outcome) implements Claimed {
		}

	}

}
