package org.citronrelay.internal.peer;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * The known peers and when each last reported its status. Thread-safe; each change
 * replaces an immutable snapshot.
 */
public final class PeerTable {

	/** How long a peer counts as alive after its last status, in milliseconds. */
	public static final long ALIVE_MS = 5_000;

	/** How long a peer that reports no status is still called, in milliseconds. */
	public static final long RETENTION_MS = 600_000;

	private final AtomicReference<Map<String, Peer>> peers = new AtomicReference<>(HashMap.empty());

	/**
	 * Records the status that a peer reported.
	 * @param status the status
	 * @param now the present time, in monotonic milliseconds
	 */
	public void recordStatus(PeerStatus status, long now) {
		update((known) -> known.put(status.process(), new Peer(status, now)));
	}

	/**
	 * Adds peers that are registered in the key-value service and not known yet. They do
	 * not count as alive before they report a status.
	 * @param statuses the registered peers
	 * @param now the present time, in monotonic milliseconds
	 */
	public void addRegistered(Collection<PeerStatus> statuses, long now) {
		update((known) -> {
			Map<String, Peer> extended = known;
			for (PeerStatus status : statuses) {
				if (!extended.containsKey(status.process())) {
					extended = extended.put(status.process(), new Peer(status, now - ALIVE_MS));
				}
			}
			return extended;
		});
	}

	/**
	 * Removes peers that have reported no status for {@link #RETENTION_MS}.
	 * @param now the present time, in monotonic milliseconds
	 */
	public void removeExpired(long now) {
		update((known) -> known.filterValues((peer) -> now - peer.lastStatusAt() < RETENTION_MS));
	}

	/**
	 * Returns all known peers, alive or not.
	 */
	public java.util.List<Peer> all() {
		return this.peers.get().values().toJavaList();
	}

	/**
	 * Returns the peers that have reported their status within {@link #ALIVE_MS}.
	 * @param now the present time, in monotonic milliseconds
	 */
	public java.util.List<Peer> alive(long now) {
		return this.peers.get().values().filter((peer) -> peer.aliveAt(now)).toJavaList();
	}

	/**
	 * Returns the ids of the VMs that live peers report as draining.
	 * @param now the present time, in monotonic milliseconds
	 */
	public Set<String> drainingVms(long now) {
		Set<String> vms = new TreeSet<>();
		alive(now).forEach((peer) -> vms.addAll(peer.status().drainingVms()));
		return vms;
	}

	private void update(UnaryOperator<Map<String, Peer>> change) {
		this.peers.updateAndGet(change);
	}

	/**
	 * A peer and its last status.
	 *
	 * @param status its last status
	 * @param lastStatusAt when the status was received, in monotonic milliseconds
	 */
	public record Peer(PeerStatus status, long lastStatusAt) {

		/**
		 * Whether the peer counts as alive.
		 * @param now the present time, in monotonic milliseconds
		 */
		public boolean aliveAt(long now) {
			return now - this.lastStatusAt < ALIVE_MS;
		}

	}

}
