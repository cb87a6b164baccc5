package org.citronrelay.internal.holder;

import java.nio.charset.StandardCharsets;
import java.util.UUID;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.holder.Tenancy.Holding;
import org.citronrelay.internal.platform.Expectation;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.time.Ticker;

/**
 * The lease and the epoch of a failure domain in the key-value service.
 */
public final class DomainLease {

	/** How long the lease lives without renewal, in milliseconds. */
	public static final long TTL_MS = 6_000;

	private static final String PREFIX = "/citronrelay/domains/";

	private static final int EPOCH_ATTEMPTS = 5;

	private final KeyValueService kv;

	private final Ticker ticker;

	private final String failureDomain;

	private final String process;

	public DomainLease(KeyValueService kv, Ticker ticker, String failureDomain, String process) {
		this.kv = kv;
		this.ticker = ticker;
		this.failureDomain = failureDomain;
		this.process = process;
	}

	/**
	 * The key that names the holder while its lease lives.
	 */
	public String holderKey() {
		return PREFIX + this.failureDomain + "/holder";
	}

	/**
	 * Tries to become the holder.
	 * @param atLeast an epoch that workers have seen; the new one is newer
	 * @return the tenancy, or nothing if another process holds the domain
	 */
	public Either<KvFailure, Option<Holding>> acquire(long atLeast) {
		long sentAt = this.ticker.millis();
		return this.kv.grant(TTL_MS).flatMap((lease) -> claim(lease).flatMap((claimed) -> {
			if (!claimed) {
				this.kv.revoke(lease);
				return Either.right(Option.none());
			}
			return nextEpoch(atLeast).map((epoch) -> Option.some(new Holding(epoch, lease, sentAt + TTL_MS)));
		}));
	}

	/**
	 * Renews the lease of a holding.
	 * @return the renewed holding, or nothing if the lease is gone
	 */
	public Either<KvFailure, Option<Holding>> renew(Holding holding) {
		long sentAt = this.ticker.millis();
		return this.kv.renew(holding.lease()).map((alive) -> Option.when(alive, () -> holding.renewed(sentAt, TTL_MS)));
	}

	/**
	 * Waits while another process holds the domain: one read and one waiting watch.
	 * @param mostMs the longest wait, in milliseconds
	 */
	public Either<KvFailure, Boolean> awaitVacancy(long mostMs) {
		return this.kv.read(holderKey())
			.flatMap((stored) -> stored.isEmpty() ? Either.right(true)
					: this.kv.watch(holderKey(), stored.get().revision(), mostMs)
						.map((changes) -> !changes.deleted().isEmpty()));
	}

	/**
	 * Gives the domain back.
	 */
	public void release(Holding holding) {
		this.kv.revoke(holding.lease());
	}

	/**
	 * Raises the stored epoch above one that a worker has seen.
	 */
	public Either<KvFailure, Long> nextEpoch(long atLeast) {
		String key = PREFIX + this.failureDomain + "/epoch";
		Either<KvFailure, Long> result = Either.left(new KvFailure.Unavailable("not tried"));
		for (int attempt = 0; attempt < EPOCH_ATTEMPTS; attempt++) {
			Either<KvFailure, Option<KvEntry>> read = this.kv.read(key);
			if (read.isLeft()) {
				return Either.left(read.getLeft());
			}
			long epoch = Math.max(atLeast, read.get().map(DomainLease::number).getOrElse(0L)) + 1;
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
	 * Claims the holder's key. A write whose reply was lost counts as ours only if our
	 * own mark is read back.
	 */
	private Either<KvFailure, Boolean> claim(String lease) {
		byte[] mark = (this.process + "/" + UUID.randomUUID()).getBytes(StandardCharsets.UTF_8);
		Either<KvFailure, KvEntry> written = this.kv.write(holderKey(), mark, Expectation.absent(), lease);
		if (written.isRight()) {
			return Either.right(true);
		}
		return switch (written.getLeft()) {
			case KvFailure.Conflict _ -> Either.right(false);
			case KvFailure.Unavailable _, KvFailure.LeaseGone _ -> Either.left(written.getLeft());
			case KvFailure.Ambiguous _ -> this.kv.read(holderKey())
				.map((stored) -> stored.exists((entry) -> java.util.Arrays.equals(entry.value(), mark)));
		};
	}

	private static long number(KvEntry entry) {
		return Long.parseLong(new String(entry.value(), StandardCharsets.UTF_8));
	}

}
