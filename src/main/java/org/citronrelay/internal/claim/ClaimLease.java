package org.citronrelay.internal.claim;

import io.vavr.control.Either;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.KvFailure;

/**
 * The lease under which claims expire. One lease serves all claims of an hour, so that a
 * claim costs one write and no more.
 */
final class ClaimLease {

	/** How long a claim is kept at the least, in milliseconds. */
	static final long KEPT_MS = 24 * 3_600_000L;

	private static final long SHARED_MS = 3_600_000L;

	private final KeyValueService kv;

	private String lease = KeyValueService.NO_LEASE;

	private long grantedAt;

	ClaimLease(KeyValueService kv) {
		this.kv = kv;
	}

	synchronized Either<KvFailure, String> current(long now) {
		if (!this.lease.isEmpty() && now - this.grantedAt < SHARED_MS) {
			return Either.right(this.lease);
		}
		return this.kv.grant(KEPT_MS + SHARED_MS).peek((granted) -> {
			this.lease = granted;
			this.grantedAt = now;
		});
	}

	/**
	 * Forgets a lease that the service does not know any more.
	 */
	synchronized void lost(String gone) {
		if (this.lease.equals(gone)) {
			this.lease = KeyValueService.NO_LEASE;
		}
	}

}
