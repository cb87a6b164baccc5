package org.citronrelay.internal.cluster;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.time.Pause;
import org.slf4j.event.Level;

/**
 * Reports the keys under a prefix and their changes: one list, then watch calls, and
 * another list whenever changes may have been missed.
 */
final class PrefixWatcher {

	/** The pause after a failed call, in milliseconds. */
	private static final long RETRY_MS = 150;

	/** One in this many calls is a list, which finds changes that watches missed. */
	private static final int WATCHES_PER_LIST = 50;

	private final ClusterStore store;

	private final String prefix;

	private final long waitMs;

	private final long pauseMs;

	private final Consumer<KvEntry> onWritten;

	private final Consumer<String> onRemoved;

	private final Set<String> knownKeys = new HashSet<>();

	private long revision;

	/**
	 * Creates a watcher of a prefix.
	 * @param waitMs how long one watch call waits for changes, in milliseconds
	 * @param pauseMs the pause between two watch calls, in which changes accumulate, in
	 * milliseconds
	 * @param onWritten called for each entry that was listed or written
	 * @param onRemoved called with the key of each entry that was removed
	 */
	PrefixWatcher(ClusterStore store, String prefix, long waitMs, long pauseMs, Consumer<KvEntry> onWritten,
			Consumer<String> onRemoved) {
		this.store = store;
		this.prefix = prefix;
		this.waitMs = waitMs;
		this.pauseMs = pauseMs;
		this.onWritten = onWritten;
		this.onRemoved = onRemoved;
	}

	/**
	 * Lists all keys once.
	 * @return false if the list failed
	 */
	boolean load() {
		return guarded("list",
				() -> this.store.list(this.prefix).peek(this::applyList).peekLeft(this::logFailure).isRight());
	}

	private boolean watch() {
		return guarded("watch",
				() -> this.store.watch(this.prefix, this.revision, this.waitMs)
					.peek(this::applyChanges)
					.peekLeft(this::logFailure)
					.isRight());
	}

	/**
	 * Returns the result of a call. An unexpected error is a failure like any other, so
	 * that the prefix is followed on.
	 */
	private boolean guarded(String activity, Supplier<Boolean> call) {
		return ErrorBoundary.call(activity + " the records under " + this.prefix, call, (error) -> false);
	}

	/**
	 * Reports changes while the condition holds; returns once it no longer does.
	 */
	void follow(BooleanSupplier active) {
		int watches = 0;
		while (active.getAsBoolean()) {
			boolean listDue = watches++ % WATCHES_PER_LIST == WATCHES_PER_LIST - 1;
			boolean succeeded = listDue ? load() : watch();
			if (!succeeded) {
				Pause.millis(RETRY_MS);
				load();
			}
			if (this.pauseMs > 0) {
				Pause.millis(this.pauseMs);
			}
		}
	}

	private void applyList(KvSnapshot snapshot) {
		this.revision = Math.max(this.revision, snapshot.revision());
		Set<String> present = new HashSet<>();
		snapshot.entries().forEach((entry) -> {
			present.add(entry.key());
			reportWritten(entry);
		});
		List<String> missing = this.knownKeys.stream().filter((key) -> !present.contains(key)).toList();
		missing.forEach(this.onRemoved);
		this.knownKeys.clear();
		this.knownKeys.addAll(present);
	}

	private void applyChanges(KvSnapshot snapshot) {
		this.revision = Math.max(this.revision, snapshot.revision());
		snapshot.deleted().forEach((key) -> {
			this.knownKeys.remove(key);
			this.onRemoved.accept(key);
		});
		snapshot.entries().forEach((entry) -> {
			this.knownKeys.add(entry.key());
			reportWritten(entry);
		});
	}

	/**
	 * Reports an entry. One that the recipient cannot handle does not keep the others
	 * from being reported.
	 */
	private void reportWritten(KvEntry entry) {
		ErrorBoundary.run("apply the record " + entry.key(), () -> this.onWritten.accept(entry));
	}

	/**
	 * Logs a failed call: as a warning while nothing was read yet, since nothing can be
	 * done without a first list.
	 */
	private void logFailure(StoreFailure failure) {
		Part.PLATFORM.logger()
			.atLevel((this.revision > 0) ? Level.DEBUG : Level.WARN)
			.addKeyValue("prefix", this.prefix)
			.addKeyValue("reason", failure.message())
			.log("A list or watch call failed; lists all keys again.");
	}

}
