package org.citronrelay.internal.platform;

import io.vavr.control.Either;

/**
 * The lease under which values expire that nobody needs after a day: claims, and the
 * records of jobs that have ended. One lease serves all values of an hour, so that each
 * costs one write and no more.
 */
public final class SharedLease {

	/** How long a value is kept at the least, in milliseconds. */
	public static final long KEPT_MS = 24 * 3_600_000L;

	private static final long SHARED_MS = 3_600_000L;

	private final KeyValueService kv;

	private String lease = KeyValueService.NO_LEASE;

	private long grantedAt;

	public SharedLease(KeyValueService kv) {
		this.kv = kv;
	}

	/**
	 * The lease for a value written now.
	 * @param now the present time in monotonic milliseconds
	 */
	public synchronized Either<KvFailure, String> current(long now) {
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
	public synchronized void lost(String gone) {
		if (this.lease.equals(gone)) {
			this.lease = KeyValueService.NO_LEASE;
		}
	}

}
