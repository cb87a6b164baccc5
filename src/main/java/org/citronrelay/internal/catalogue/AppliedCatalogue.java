package org.citronrelay.internal.catalogue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.citronrelay.internal.logging.Part;

/**
 * Holds the version of the catalogue that is in force in this process. A version is only
 * replaced by one with a higher number.
 */
public final class AppliedCatalogue {

	private final AtomicReference<CatalogueVersion> current = new AtomicReference<>(CatalogueVersion.NONE);

	private final List<Consumer<CatalogueVersion>> listeners = new CopyOnWriteArrayList<>();

	/**
	 * Returns the version in force, {@link CatalogueVersion#NONE} before the first. A
	 * request reads it once, so that all its stages use the same version.
	 */
	public CatalogueVersion current() {
		return this.current.get();
	}

	/**
	 * Registers a listener that is called with each new version, on the thread that
	 * applies it.
	 */
	public void onChange(Consumer<CatalogueVersion> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Puts a version in force if its number is higher than that of the version in force.
	 * @return whether the candidate is the version in force afterwards
	 */
	public boolean applyIfNewer(CatalogueVersion candidate) {
		CatalogueVersion previous = this.current
			.getAndUpdate((version) -> (candidate.number() > version.number()) ? candidate : version);
		if (candidate.number() > previous.number()) {
			Part.CATALOGUE.logger()
				.info("Catalogue version {} is in force (change {}).", candidate.number(), candidate.changeId());
			this.listeners.forEach((listener) -> listener.accept(candidate));
			return true;
		}
		if (candidate.number() == previous.number() && !candidate.digest().equals(previous.digest())) {
			Part.CATALOGUE.logger()
				.error("Two catalogue versions have number {}: change {} stays in force, change {} is ignored.",
						previous.number(), previous.changeId(), candidate.changeId());
			return false;
		}
		return candidate.digest().equals(previous.digest());
	}

}
