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
 * Holds the newest version of the operators' catalogue. A watch reports changes at once,
 * and a periodic read finds changes that the watch missed.
 */
final class CatalogueWatch {

	/** How long one watch call waits for changes, in milliseconds. */
	private static final long WATCH_TIMEOUT_MS = 2_000;

	/**
	 * The time between two reads, in milliseconds: half the time within which a change
	 * must take effect.
	 */
	private static final long READ_INTERVAL_MS = 1_000;

	/** The pause after a failed read or list, in milliseconds. */
	private static final long RETRY_MS = 200;

	private final ClusterStore store;

	private final ExternalRecordReader recordReader;

	private final AtomicReference<QueueCatalogue> current = new AtomicReference<>(QueueCatalogue.NONE);

	private final List<Consumer<QueueCatalogue>> listeners = new CopyOnWriteArrayList<>();

	private volatile long revision;

	CatalogueWatch(ClusterStore store, ExternalRecordReader recordReader) {
		this.store = store;
		this.recordReader = recordReader;
	}

	QueueCatalogue current() {
		return this.current.get();
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
			ErrorBoundary.run("read the catalogue",
					() -> this.store.read(this.recordReader.catalogueKey()).peek((entry) -> entry.peek(this::apply)));
		}
		while (Pause.millis((this.revision > 0) ? READ_INTERVAL_MS : RETRY_MS));
	}

	private void watch() {
		PrefixWatcher watcher = new PrefixWatcher(this.store, this.recordReader.catalogueKey(), WATCH_TIMEOUT_MS, 0,
				this::apply, (key) -> {
				});
		while (!watcher.load()) {
			Pause.millis(RETRY_MS);
		}
		watcher.follow(() -> !Thread.currentThread().isInterrupted());
	}

	private synchronized void apply(KvEntry entry) {
		if (!entry.key().equals(this.recordReader.catalogueKey()) || entry.revision() <= this.revision) {
			return;
		}
		this.revision = entry.revision();
		this.recordReader.catalogue(entry.value()).peek((newCatalogue) -> {
			if (newCatalogue.version() > this.current.get().version()) {
				this.current.set(newCatalogue);
				Part.CATALOGUE.logger()
					.atInfo()
					.addKeyValue("version", newCatalogue.version())
					.addKeyValue("revision", entry.revision())
					.addKeyValue("queues", newCatalogue.routes().size())
					.log("A new version of the catalogue has taken effect.");
				this.listeners.forEach((listener) -> listener.accept(newCatalogue));
			}
		})
			.peekLeft((findings) -> Part.CATALOGUE.logger()
				.atError()
				.addKeyValue("revision", entry.revision())
				.addKeyValue("findings", findings.text())
				.log("Could not read a version of the catalogue; the previous one stays in effect."));
	}

}
