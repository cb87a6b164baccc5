package org.citronrelay.internal.peer;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * The peers that were heard, as an immutable snapshot that is replaced as a whole.
 */
public final class PeerTable {

	/** How long a peer counts as alive after it was heard last, in milliseconds. */
	public static final long ALIVE_MS = 5_000;

	/** How long a silent peer is still tried, in milliseconds. */
	public static final long REMEMBERED_MS = 600_000;

	private final AtomicReference<Map<String, Peer>> peers = new AtomicReference<>(HashMap.empty());

	/**
	 * Notes that a peer was heard.
	 */
	public void heard(PeerStatus status, long now) {
		update((known) -> known.put(status.process(), new Peer(status, now)));
	}

	/**
	 * Notes peers that another source names, without having heard them.
	 */
	public void named(Collection<PeerStatus> statuses, long now) {
		update((known) -> {
			Map<String, Peer> more = known;
			for (PeerStatus status : statuses) {
				if (!more.containsKey(status.process())) {
					more = more.put(status.process(), new Peer(status, now - ALIVE_MS));
				}
			}
			return more;
		});
	}

	/**
	 * Drops peers that have been silent for long.
	 */
	public void forget(long now) {
		update((known) -> known.filterValues((peer) -> now - peer.heardAt() < REMEMBERED_MS));
	}

	/**
	 * All peers that are remembered.
	 */
	public java.util.List<Peer> all() {
		return this.peers.get().values().toJavaList();
	}

	/**
	 * The peers that were heard a moment ago.
	 */
	public java.util.List<Peer> alive(long now) {
		return this.peers.get().values().filter((peer) -> peer.aliveAt(now)).toJavaList();
	}

	/**
	 * The VMs that peers avoid because they leave.
	 */
	public Set<String> avoided(long now) {
		Set<String> avoided = new TreeSet<>();
		alive(now).forEach((peer) -> avoided.addAll(peer.status().avoided()));
		return avoided;
	}

	private void update(UnaryOperator<Map<String, Peer>> change) {
		this.peers.updateAndGet(change);
	}

	/**
	 * A peer and when it was heard last.
	 *
	 * @param status what it said of itself
	 * @param heardAt when, in monotonic milliseconds
	 */
	public record Peer(PeerStatus status, long heardAt) {

		/**
		 * Whether it counts as alive.
		 */
		public boolean aliveAt(long now) {
			return now - this.heardAt < ALIVE_MS;
		}

	}

}
