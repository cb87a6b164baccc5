package org.citronrelay.internal.holder;

import java.util.Objects;

/**
 * Whether this process holds its failure domain. Instances are immutable.
 */
public sealed interface HolderState {

	/**
	 * Another process holds the domain, or none does.
	 */
	record Standby() implements HolderState {
	}

	/**
	 * This process holds the domain.
	 *
	 * @param epoch the epoch, greater than that of every earlier holder
	 * @param lease the id of the lease in the key-value service
	 * @param confirmedUntil the time until which the lease cannot have expired, in
	 * monotonic milliseconds
	 */
	record Holding(long epoch, String lease, long confirmedUntil) implements HolderState {

		public Holding {
			Objects.requireNonNull(lease, "lease");
		}

		/**
		 * Whether the lease cannot have expired yet.
		 * @param now the present time, in monotonic milliseconds
		 */
		public boolean confirmedAt(long now) {
			return now < this.confirmedUntil;
		}

		/**
		 * Returns the holding after the key-value service renewed the lease.
		 * @param sentAt when the renewal was sent, in monotonic milliseconds
		 * @param ttlMs how long the lease lasts from its renewal, in milliseconds
		 */
		public Holding renewed(long sentAt, long ttlMs) {
			return new Holding(this.epoch, this.lease, Math.max(this.confirmedUntil, sentAt + ttlMs));
		}

	}

}
