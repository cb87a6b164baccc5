package org.citronrelay.internal.cluster;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.time.Pause;

/**
 * Follows all keys under a prefix: a list, then watches, and a new list whenever changes
 * may have been missed.
 */
final class PrefixFeed {

	/** How long to wait after a failed call. */
	private static final long RETRY_MS = 150;

	/** The time between two full lists, for what a deaf watch missed. */
	private static final int WATCHES_A_LIST = 50;

	private final ClusterStore store;

	private final String prefix;

	private final long waitMs;

	private final long pauseMs;

	private final Consumer<KvEntry> written;

	private final Consumer<String> removed;

	private final Set<String> known = new HashSet<>();

	private long revision;

	/**
	 * A feed of a prefix.
	 * @param waitMs how long a watch waits
	 * @param pauseMs the pause between two watches, in which changes gather
	 */
	PrefixFeed(ClusterStore store, String prefix, long waitMs, long pauseMs, Consumer<KvEntry> written,
			Consumer<String> removed) {
		this.store = store;
		this.prefix = prefix;
		this.waitMs = waitMs;
		this.pauseMs = pauseMs;
		this.written = written;
		this.removed = removed;
	}

	/**
	 * Reads everything once; false where the store did not answer.
	 */
	boolean load() {
		return this.store.list(this.prefix).peek(this::takeAll).peekLeft(this::log).isRight();
	}

	/**
	 * Follows the changes until told to stop.
	 */
	void follow(BooleanSupplier wanted) {
		int watches = 0;
		while (wanted.getAsBoolean()) {
			boolean again = watches++ % WATCHES_A_LIST == WATCHES_A_LIST - 1;
			boolean heard = again ? load()
					: this.store.watch(this.prefix, this.revision, this.waitMs)
						.peek(this::take)
						.peekLeft(this::log)
						.isRight();
			if (!heard) {
				Pause.millis(RETRY_MS);
				load();
			}
			if (this.pauseMs > 0) {
				Pause.millis(this.pauseMs);
			}
		}
	}

	private void takeAll(KvSnapshot snapshot) {
		this.revision = Math.max(this.revision, snapshot.revision());
		Set<String> present = new HashSet<>();
		snapshot.entries().forEach((entry) -> {
			present.add(entry.key());
			this.written.accept(entry);
		});
		List<String> missing = this.known.stream().filter((key) -> !present.contains(key)).toList();
		missing.forEach(this.removed);
		this.known.clear();
		this.known.addAll(present);
	}

	private void take(KvSnapshot snapshot) {
		this.revision = Math.max(this.revision, snapshot.revision());
		snapshot.deleted().forEach((key) -> {
			this.known.remove(key);
			this.removed.accept(key);
		});
		snapshot.entries().forEach((entry) -> {
			this.known.add(entry.key());
			this.written.accept(entry);
		});
	}

	private void log(StoreFailure failure) {
		Part.PLATFORM.logger()
			.atDebug()
			.addKeyValue("prefix", this.prefix)
			.addKeyValue("reason", failure.phrase())
			.log("A list or watch failed; lists again.");
	}

}
