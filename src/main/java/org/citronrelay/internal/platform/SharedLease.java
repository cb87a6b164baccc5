package org.citronrelay.internal.platform;

import io.vavr.control.Either;

/**
 * Provides the lease for values that are not needed after a day: claims, and the records
 * of ended jobs. All values written within one hour share a lease, so that a value costs
 * a single write and no lease of its own.
 */
public final class SharedLease {

	/** Minimum time that a value is kept, in milliseconds. */
	public static final long RETENTION_MS = 24 * 3_600_000L;

	private static final long SHARING_PERIOD_MS = 3_600_000L;

	private final KeyValueService kv;

	private String lease = KeyValueService.NO_LEASE;

	private long grantedAtMs;

	public SharedLease(KeyValueService kv) {
		this.kv = kv;
	}

	/**
	 * Returns the lease for a value written now; grants one if there is none or the
	 * current one was granted more than an hour ago.
	 * @param nowMs the current time, in monotonic milliseconds
	 */
	public synchronized Either<KvFailure, String> current(long nowMs) {
		if (!this.lease.isEmpty() && nowMs - this.grantedAtMs < SHARING_PERIOD_MS) {
			return Either.right(this.lease);
		}
		return this.kv.grant(RETENTION_MS + SHARING_PERIOD_MS).peek((granted) -> {
			this.lease = granted;
			this.grantedAtMs = nowMs;
		});
	}

	/**
	 * Discards a lease that has expired or was revoked, so that the next call of
	 * {@link #current} grants a new one. Has no effect if it is not the current lease.
	 */
	public synchronized void discard(String ended) {
		if (this.lease.equals(ended)) {
			this.lease = KeyValueService.NO_LEASE;
		}
	}

}
