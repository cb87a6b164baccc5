package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.time.Pause;

/**
 * Keeps the newest version of the operators' catalogue. A watch brings changes at once; a
 * read beside it finds what the watch missed.
 */
final class CatalogueWatch {

	/** How long a watch waits, in milliseconds. */
	private static final long WATCH_MS = 2_000;

	/** The time between two reads, in milliseconds; half of what a change may take. */
	private static final long READ_MS = 1_000;

	/** How long to wait after a failed watch. */
	private static final long RETRY_MS = 200;

	private final ClusterStore store;

	private final ClusterSources sources;

	private final AtomicReference<QueueCatalogue> newest = new AtomicReference<>(QueueCatalogue.NONE);

	private final List<Consumer<QueueCatalogue>> listeners = new CopyOnWriteArrayList<>();

	private volatile long revision;

	CatalogueWatch(ClusterStore store, ClusterSources sources) {
		this.store = store;
		this.sources = sources;
	}

	QueueCatalogue current() {
		return this.newest.get();
	}

	void onChange(Consumer<QueueCatalogue> listener) {
		this.listeners.add(listener);
	}

	void start() {
		Thread.ofVirtual().name("catalogue-watch").start(this::watch);
		Thread.ofVirtual().name("catalogue-read").start(this::poll);
	}

	private void poll() {
		do {
			this.store.read(this.sources.catalogueKey()).peek((entry) -> entry.peek(this::take));
		}
		while (Pause.millis((this.revision > 0) ? READ_MS : RETRY_MS));
	}

	private void watch() {
		PrefixFeed feed = new PrefixFeed(this.store, this.sources.catalogueKey(), WATCH_MS, 0, this::take, (key) -> {
		});
		while (!feed.load()) {
			Pause.millis(RETRY_MS);
		}
		feed.follow(() -> !Thread.currentThread().isInterrupted());
	}

	private synchronized void take(KvEntry entry) {
		if (!entry.key().equals(this.sources.catalogueKey()) || entry.revision() <= this.revision) {
			return;
		}
		this.revision = entry.revision();
		this.sources.catalogue(entry.value()).peek((version) -> {
			if (version.version() > this.newest.get().version()) {
				this.newest.set(version);
				Part.CATALOGUE.logger()
					.atInfo()
					.addKeyValue("version", version.version())
					.addKeyValue("revision", entry.revision())
					.addKeyValue("queues", version.entries().size())
					.log("A new version is in force.");
				this.listeners.forEach((listener) -> listener.accept(version));
			}
		})
			.peekLeft((findings) -> Part.CATALOGUE.logger()
				.atError()
				.addKeyValue("revision", entry.revision())
				.addKeyValue("findings", findings.text())
				.log("A version cannot be read; the one before stays in force."));
	}

}
