package org.citronrelay.internal.entry;

import io.vavr.control.Either;
import org.citronrelay.internal.catalogue.AppliedCatalogue;
import org.citronrelay.internal.catalogue.CatalogueStore;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.peer.PeerMessage;
import org.citronrelay.internal.peer.PeerNode;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvFailure;

/**
 * Puts new versions of the catalogue in force in this process. It learns of them in three
 * ways: a watch on the catalogue's head in the key-value service, a periodic read of the
 * head, and peers that report a newer version.
 */
final class CatalogueUpdater {

	/** How often the head is read in addition to the watch, in milliseconds. */
	static final long POLL_MS = 10_000;

	/** How long one watch call waits for a change, in milliseconds. */
	static final long WATCH_MS = 30_000;

	private static final long FETCH_TIMEOUT_MS = 1_500;

	private final KeyValueService kv;

	private final CatalogueStore store;

	private final AppliedCatalogue applied;

	private long watchedRevision;

	CatalogueUpdater(KeyValueService kv, CatalogueStore store, AppliedCatalogue applied) {
		this.kv = kv;
		this.store = store;
		this.applied = applied;
	}

	/**
	 * Waits up to {@link #WATCH_MS} for the head to change and applies the change.
	 * @return whether the key-value service answered
	 */
	boolean watchOnce() {
		Either<KvFailure, KvSnapshot> changes = this.kv.watch(CatalogueStore.HEAD_KEY, this.watchedRevision, WATCH_MS);
		changes.peek((snapshot) -> {
			this.watchedRevision = snapshot.revision();
			snapshot.entries().forEach((entry) -> this.store.applyHead(io.vavr.control.Option.some(entry)));
		});
		return changes.isRight();
	}

	/**
	 * Reads the head and applies it if it is newer than the version in force. Stores the
	 * version in force again if the key-value service was restored from an older copy.
	 */
	void poll() {
		this.store.refresh();
	}

	/**
	 * Fetches the catalogue of a peer and applies it, if the peer's version is newer than
	 * the one in force.
	 * @param node sends the call
	 * @param peer the address of the peer
	 * @param number the version number that the peer reported
	 */
	void fetchFrom(PeerNode node, Address peer, long number) {
		if (number <= this.applied.current().number()) {
			return;
		}
		Either<String, PeerMessage> answer = node.call(peer,
				new PeerMessage.CatalogueRequest(this.applied.current().number() + 1), FETCH_TIMEOUT_MS);
		if (answer.isRight() && answer.get() instanceof PeerMessage.Document document && document.bytes().length > 0) {
			CatalogueVersion.read(document.bytes())
				.peek(this.applied::applyIfNewer)
				.peekLeft((findings) -> Part.CATALOGUE.logger()
					.error("Ignored the invalid catalogue that peer {} sent: {}.", peer, findings.text()));
		}
	}

}
