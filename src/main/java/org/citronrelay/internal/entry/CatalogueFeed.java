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
 * Brings new versions of the catalogue by three ways: the watch, a poll beside it, and
 * peers that have a newer one.
 */
final class CatalogueFeed {

	/** How often the head is read beside the watch, in milliseconds. */
	static final long POLL_MS = 10_000;

	/** How long one call of the watch waits, in milliseconds. */
	static final long WATCH_MS = 30_000;

	private static final long FETCH_TIMEOUT_MS = 1_500;

	private final KeyValueService kv;

	private final CatalogueStore store;

	private final AppliedCatalogue applied;

	private long watchedRevision;

	CatalogueFeed(KeyValueService kv, CatalogueStore store, AppliedCatalogue applied) {
		this.kv = kv;
		this.store = store;
		this.applied = applied;
	}

	/**
	 * Waits once for the head to change; says whether the watch answered.
	 */
	boolean watchOnce() {
		Either<KvFailure, KvSnapshot> changes = this.kv.watch(CatalogueStore.HEAD, this.watchedRevision, WATCH_MS);
		changes.peek((snapshot) -> {
			this.watchedRevision = snapshot.revision();
			snapshot.entries().forEach((entry) -> this.store.take(io.vavr.control.Option.some(entry)));
		});
		return changes.isRight();
	}

	/**
	 * Reads the head.
	 */
	void poll() {
		this.store.refresh();
	}

	/**
	 * Fetches the catalogue of a peer that has a newer one.
	 */
	void heard(PeerNode node, Address peer, long number) {
		if (number <= this.applied.current().number()) {
			return;
		}
		Either<String, PeerMessage> answer = node.call(peer,
				new PeerMessage.CatalogueWanted(this.applied.current().number() + 1), FETCH_TIMEOUT_MS);
		if (answer.isRight() && answer.get() instanceof PeerMessage.Document document && document.bytes().length > 0) {
			CatalogueVersion.read(document.bytes())
				.peek(this.applied::offer)
				.peekLeft((findings) -> Part.CATALOGUE.logger()
					.error("The catalogue of {} is damaged: {}.", peer, findings.text()));
		}
	}

}
