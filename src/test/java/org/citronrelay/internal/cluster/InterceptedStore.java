package org.citronrelay.internal.cluster;

import java.util.function.Consumer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;

/**
 * A store that lets a test act before each read of a key.
 */
record InterceptedStore(ClusterStore store, Consumer<String> beforeRead) implements ClusterStore {

	@Override
	public Either<StoreFailure, Option<KvEntry>> read(String key) {
		this.beforeRead.accept(key);
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
		return this.store.transact(transaction);
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
