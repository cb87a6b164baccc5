package org.citronrelay.internal.catalogue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.citronrelay.internal.logging.Part;

/**
 * The version of the catalogue in force in this process. It only grows.
 */
public final class AppliedCatalogue {

	private final AtomicReference<CatalogueVersion> current = new AtomicReference<>(CatalogueVersion.NONE);

	private final List<Consumer<CatalogueVersion>> listeners = new CopyOnWriteArrayList<>();

	/**
	 * The version in force. A request reads it once.
	 */
	public CatalogueVersion current() {
		return this.current.get();
	}

	/**
	 * Calls the listener after each change.
	 */
	public void onChange(Consumer<CatalogueVersion> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Puts a version in force if it is newer than the one that is.
	 * @return whether it is in force now
	 */
	public boolean offer(CatalogueVersion candidate) {
		CatalogueVersion before = this.current
			.getAndUpdate((known) -> (candidate.number() > known.number()) ? candidate : known);
		if (candidate.number() > before.number()) {
			Part.CATALOGUE.logger()
				.info("Version {} is in force, change {}.", candidate.number(), candidate.changeId());
			this.listeners.forEach((listener) -> listener.accept(candidate));
			return true;
		}
		if (candidate.number() == before.number() && !candidate.digest().equals(before.digest())) {
			Part.CATALOGUE.logger()
				.error("Two versions have number {}: kept change {}, ignored change {}.", before.number(),
						before.changeId(), candidate.changeId());
			return false;
		}
		return candidate.digest().equals(before.digest());
	}

}
