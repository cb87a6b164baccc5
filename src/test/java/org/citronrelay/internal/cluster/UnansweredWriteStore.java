package org.citronrelay.internal.cluster;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;

/**
 * A store whose first write takes effect without an answer, and which refuses all later
 * calls.
 */
final class UnansweredWriteStore implements ClusterStore {

	private final InMemoryClusterStore store;

	UnansweredWriteStore(InMemoryClusterStore store) {
		this.store = store;
	}

	@Override
	public Either<StoreFailure, Option<KvEntry>> read(String key) {
		return this.store.read(key);
	}

	@Override
	public Either<StoreFailure, KvSnapshot> list(String prefix) {
		return this.store.list(prefix);
	}

	@Override
	public Either<StoreFailure, KvSnapshot> watch(String prefix, long afterRevision, long waitMs) {
		return this.store.watch(prefix, afterRevision, waitMs);
	}

	@Override
	public Either<StoreFailure, Long> transact(Transaction transaction) {
		this.store.loseAnswers(1);
		Either<StoreFailure, Long> result = this.store.transact(transaction);
		this.store.refuseCalls(true);
		return result;
	}

	@Override
	public Either<StoreFailure, String> grant(long ttlMs) {
		return this.store.grant(ttlMs);
	}

	@Override
	public Either<StoreFailure, Boolean> renew(String lease) {
		return this.store.renew(lease);
	}

	@Override
	public Either<StoreFailure, Boolean> revoke(String lease) {
		return this.store.revoke(lease);
	}

}
