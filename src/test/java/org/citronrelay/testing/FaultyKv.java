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
 * A key-value service in memory that loses replies and has outages, by a seeded random
 * number generator.
 */
public final class FaultyKv implements KeyValueService {

	private final KvStore store;

	private final LongSupplier now;

	private final RandomGenerator random;

	private volatile double lossOfReplies;

	private volatile boolean down;

	private volatile boolean ignoringExpectations;

	private int writes;

	public FaultyKv(KvStore store, LongSupplier now, RandomGenerator random) {
		this.store = store;
		this.now = now;
		this.random = random;
	}

	/**
	 * Sets the share of writes whose reply is lost after they took effect.
	 */
	public void loseReplies(double share) {
		this.lossOfReplies = share;
	}

	/**
	 * Takes the service down or up.
	 */
	public void down(boolean isDown) {
		this.down = isDown;
	}

	/**
	 * Takes compare-and-swap out, to see a check go red.
	 */
	public void ignoreExpectations() {
		this.ignoringExpectations = true;
	}

	/**
	 * The writes so far.
	 */
	public int writes() {
		return this.writes;
	}

	@Override
	public Either<KvFailure, Option<KvEntry>> read(String key) {
		return ask(() -> Either.right(this.store.read(key, this.now.getAsLong())));
	}

	@Override
	public Either<KvFailure, KvSnapshot> list(String prefix) {
		return ask(() -> Either.right(this.store.list(prefix, this.now.getAsLong())));
	}

	@Override
	public Either<KvFailure, KvEntry> write(String key, byte[] value, Expectation expectation, String lease) {
		Expectation used = this.ignoringExpectations ? new Expectation.Unconditional() : expectation;
		return change(() -> this.store.write(key, value, used, lease, this.now.getAsLong()));
	}

	@Override
	public Either<KvFailure, Boolean> delete(String key, long revision) {
		return change(() -> this.store.delete(key, revision, this.now.getAsLong()));
	}

	@Override
	public Either<KvFailure, String> grant(long ttlMs) {
		return change(() -> Either.right(this.store.grant(ttlMs, this.now.getAsLong())));
	}

	@Override
	public Either<KvFailure, Boolean> renew(String lease) {
		return change(() -> Either.right(this.store.renew(lease, this.now.getAsLong())));
	}

	@Override
	public Either<KvFailure, Boolean> revoke(String lease) {
		return change(() -> Either.right(this.store.revoke(lease, this.now.getAsLong())));
	}

	@Override
	public Either<KvFailure, KvSnapshot> watch(String prefix, long afterRevision, long waitMs) {
		return ask(() -> Either.right(this.store.changes(prefix, afterRevision, this.now.getAsLong())));
	}

	private <T> Either<KvFailure, T> ask(Supplier<Either<KvFailure, T>> call) {
		return this.down ? Either.left(new KvFailure.Unavailable("down")) : call.get();
	}

	private synchronized <T> Either<KvFailure, T> change(Supplier<Either<KvFailure, T>> call) {
		if (this.down) {
			return Either.left(new KvFailure.Unavailable("down"));
		}
		this.writes++;
		Either<KvFailure, T> result = call.get();
		return (this.random.nextDouble() < this.lossOfReplies) ? Either.left(new KvFailure.Ambiguous("reply lost"))
				: result;
	}

}
