package org.citronrelay.internal.holder;

import java.util.Objects;

/**
 * Whether this process holds its failure domain. Immutable; replaced as a whole.
 */
public sealed interface Tenancy {

	/**
	 * Another process holds it, or none.
	 */
	record Standby() implements Tenancy {
	}

	/**
	 * This process holds it.
	 *
	 * @param epoch the epoch, newer than that of every holder before
	 * @param lease the lease in the key-value service
	 * @param confirmedUntil until when the lease is surely alive, in monotonic
	 * milliseconds
	 */
	record Holding(long epoch, String lease, long confirmedUntil) implements Tenancy {

		public Holding {
			Objects.requireNonNull(lease, "lease");
		}

		/**
		 * Whether the lease is surely alive.
		 */
		public boolean confirmedAt(long now) {
			return now < this.confirmedUntil;
		}

		/**
		 * The same after the service renewed the lease.
		 * @param sentAt when the renewal was sent, in monotonic milliseconds
		 */
		public Holding renewed(long sentAt, long ttlMs) {
			return new Holding(this.epoch, this.lease, Math.max(this.confirmedUntil, sentAt + ttlMs));
		}

	}

}
