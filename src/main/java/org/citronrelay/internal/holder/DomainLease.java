package org.citronrelay.internal.holder;

import java.nio.charset.StandardCharsets;
import java.util.UUID;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.holder.HolderState.Holding;
import org.citronrelay.internal.platform.Expectation;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.time.Ticker;

/**
 * The holder lease and the epoch of a failure domain in the key-value service.
 */
public final class DomainLease {

	/** How long the lease lasts without renewal, in milliseconds. */
	public static final long TTL_MS = 6_000;

	private static final String KEY_PREFIX = "/citronrelay/domains/";

	private static final int EPOCH_WRITE_ATTEMPTS = 5;

	private final KeyValueService kv;

	private final Ticker ticker;

	private final String failureDomain;

	private final String processId;

	public DomainLease(KeyValueService kv, Ticker ticker, String failureDomain, String processId) {
		this.kv = kv;
		this.ticker = ticker;
		this.failureDomain = failureDomain;
		this.processId = processId;
	}

	/**
	 * Returns the key that names the holder; the key is deleted with the holder's lease.
	 */
	public String holderKey() {
		return KEY_PREFIX + this.failureDomain + "/holder";
	}

	/**
	 * Tries to become the holder.
	 * @param newestSeen the newest known epoch; the new epoch is greater
	 * @return the holding, or nothing if another process holds the domain
	 */
	public Either<KvFailure, Option<Holding>> acquire(long newestSeen) {
		long sentAt = this.ticker.millis();
		return this.kv.grant(TTL_MS).flatMap((lease) -> writeHolderKey(lease).flatMap((written) -> {
			if (!written) {
				this.kv.revoke(lease);
				return Either.right(Option.none());
			}
			return nextEpoch(newestSeen).map((epoch) -> Option.some(new Holding(epoch, lease, sentAt + TTL_MS)));
		}));
	}

	/**
	 * Renews the lease of a holding.
	 * @return the renewed holding, or nothing if the lease has expired or was revoked
	 */
	public Either<KvFailure, Option<Holding>> renew(Holding holding) {
		long sentAt = this.ticker.millis();
		return this.kv.renew(holding.lease()).map((alive) -> Option.when(alive, () -> holding.renewed(sentAt, TTL_MS)));
	}

	/**
	 * Waits until no process holds the domain, with one read and at most one watch.
	 * @param maxWaitMs the longest wait, in milliseconds
	 * @return whether the domain is vacant; false when it was still held at the end of
	 * the wait
	 */
	public Either<KvFailure, Boolean> awaitVacancy(long maxWaitMs) {
		return this.kv.read(holderKey())
			.flatMap((stored) -> stored.isEmpty() ? Either.right(true)
					: this.kv.watch(holderKey(), stored.get().revision(), maxWaitMs)
						.map((changes) -> !changes.deleted().isEmpty()));
	}

	/**
	 * Revokes the lease, so that another process can acquire the domain at once.
	 */
	public void release(Holding holding) {
		this.kv.revoke(holding.lease());
	}

	/**
	 * Raises the stored epoch above both its present value and an epoch that a worker has
	 * seen.
	 * @param newestSeen the newest epoch seen by a worker
	 * @return the new epoch
	 */
	public Either<KvFailure, Long> nextEpoch(long newestSeen) {
		String key = KEY_PREFIX + this.failureDomain + "/epoch";
		Either<KvFailure, Long> result = Either.left(new KvFailure.Unavailable("no write was attempted"));
		for (int attempt = 0; attempt < EPOCH_WRITE_ATTEMPTS; attempt++) {
			Either<KvFailure, Option<KvEntry>> read = this.kv.read(key);
			if (read.isLeft()) {
				return Either.left(read.getLeft());
			}
			long epoch = Math.max(newestSeen, read.get().map(DomainLease::epochOf).getOrElse(0L)) + 1;
			Expectation expectation = read.get()
				.map((entry) -> Expectation.revision(entry.revision()))
				.getOrElse(Expectation.absent());
			result = this.kv
				.write(key, Long.toString(epoch).getBytes(StandardCharsets.UTF_8), expectation,
						KeyValueService.NO_LEASE)
				.map((entry) -> epoch);
			if (result.isRight()) {
				return result;
			}
		}
		return result;
	}

	/**
	 * Writes the holder key if it is absent. A write whose reply was lost counts as
	 * successful only if the unique value of this attempt is read back.
	 * @return whether this process now holds the domain
	 */
	private Either<KvFailure, Boolean> writeHolderKey(String lease) {
		byte[] ownValue = (this.processId + "/" + UUID.randomUUID()).getBytes(StandardCharsets.UTF_8);
		Either<KvFailure, KvEntry> written = this.kv.write(holderKey(), ownValue, Expectation.absent(), lease);
		if (written.isRight()) {
			return Either.right(true);
		}
		return switch (written.getLeft()) {
			case KvFailure.Conflict _ -> Either.right(false);
			case KvFailure.Unavailable _, KvFailure.LeaseGone _ -> Either.left(written.getLeft());
			case KvFailure.Ambiguous _ -> this.kv.read(holderKey())
				.map((stored) -> stored.exists((entry) -> java.util.Arrays.equals(entry.value(), ownValue)));
		};
	}

	private static long epochOf(KvEntry entry) {
		return Long.parseLong(new String(entry.value(), StandardCharsets.UTF_8));
	}

}
