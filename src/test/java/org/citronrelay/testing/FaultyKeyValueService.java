package org.citronrelay.testing;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.platform.Expectation;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.standin.KvStore;

/**
 * In-memory key-value service with simulated faults: lost replies, outages, and a mode
 * without compare-and-swap. The given random number generator decides which replies are
 * lost.
 */
public final class FaultyKeyValueService implements KeyValueService {

	private final KvStore store;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private volatile double replyLossRate;

	private volatile boolean unavailable;

	private volatile boolean ignoresExpectations;

	private int mutationCount;

	public FaultyKeyValueService(KvStore store, LongSupplier now, RandomGenerator random) {
		this.store = store;
		this.clock = now;
		this.random = random;
	}

	/**
	 * Sets the share of changes whose reply is lost although the change was applied.
	 * @param share the share, from 0 to 1
	 */
	public void setReplyLossRate(double share) {
		this.replyLossRate = share;
	}

	/**
	 * Starts or ends an outage. During an outage every call fails without effect.
	 */
	public void setUnavailable(boolean inOutage) {
		this.unavailable = inOutage;
	}

	/**
	 * Makes writes succeed regardless of their expectation. Tests use this to verify that
	 * the checkers detect the resulting violations.
	 */
	public void ignoreExpectations() {
		this.ignoresExpectations = true;
	}

	/**
	 * Returns the number of writes, deletions and lease operations that have reached the
	 * store so far.
	 */
	public int mutationCount() {
		return this.mutationCount;
	}

	@Override
	public Either<KvFailure, Option<KvEntry>> read(String key) {
		return query(() -> Either.right(this.store.read(key, this.clock.getAsLong())));
	}

	@Override
	public Either<KvFailure, KvSnapshot> list(String prefix) {
		return query(() -> Either.right(this.store.list(prefix, this.clock.getAsLong())));
	}

	@Override
	public Either<KvFailure, KvEntry> write(String key, byte[] value, Expectation expectation, String lease) {
		Expectation effective = this.ignoresExpectations ? new Expectation.Unconditional() : expectation;
		return mutate(() -> this.store.write(key, value, effective, lease, this.clock.getAsLong()));
	}

	@Override
	public Either<KvFailure, Boolean> delete(String key, long revision) {
		return mutate(() -> this.store.delete(key, revision, this.clock.getAsLong()));
	}

	@Override
	public Either<KvFailure, String> grant(long ttlMs) {
		return mutate(() -> Either.right(this.store.grant(ttlMs, this.clock.getAsLong())));
	}

	@Override
	public Either<KvFailure, Boolean> renew(String lease) {
		return mutate(() -> Either.right(this.store.renew(lease, this.clock.getAsLong())));
	}

	@Override
	public Either<KvFailure, Boolean> revoke(String lease) {
		return mutate(() -> Either.right(this.store.revoke(lease, this.clock.getAsLong())));
	}

	@Override
	public Either<KvFailure, KvSnapshot> watch(String prefix, long afterRevision, long waitMs) {
		return query(() -> Either.right(this.store.changes(prefix, afterRevision, this.clock.getAsLong())));
	}

	private <T> Either<KvFailure, T> query(Supplier<Either<KvFailure, T>> call) {
		return this.unavailable ? Either.left(new KvFailure.Unavailable("simulated outage")) : call.get();
	}

	private synchronized <T> Either<KvFailure, T> mutate(Supplier<Either<KvFailure, T>> call) {
		if (this.unavailable) {
			return Either.left(new KvFailure.Unavailable("simulated outage"));
		}
		this.mutationCount++;
		Either<KvFailure, T> result = call.get();
		return (this.random.nextDouble() < this.replyLossRate)
				? Either.left(new KvFailure.Ambiguous("simulated loss of the reply")) : result;
	}

}
