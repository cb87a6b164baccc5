package org.citronrelay.internal.catalogue;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry;

/**
 * Compares two catalogues entry by entry.
 */
public final class CatalogueDiff {

	private CatalogueDiff() {
	}

	/**
	 * Returns the entries that were added, changed or removed, as "kind/name", and
	 * "Weights" if the weights differ. Ids are not compared.
	 */
	public static Set<String> changedEntries(Catalogue before, Catalogue after) {
		Map<String, String> previous = index(before);
		Map<String, String> updated = index(after);
		Set<String> changed = new TreeSet<>();
		previous.forEach((key, text) -> {
			if (!text.equals(updated.get(key))) {
				changed.add(key);
			}
		});
		updated.keySet().stream().filter((key) -> !previous.containsKey(key)).forEach(changed::add);
		return changed;
	}

	private static Map<String, String> index(Catalogue catalogue) {
		Map<String, String> index = new TreeMap<>();
		catalogue.entries()
			.forEach((entry) -> index.put(entry.getClass().getSimpleName() + "/" + entry.name(), canonicalText(entry)));
		index.put("Weights", catalogue.weights().toString());
		return index;
	}

	private static String canonicalText(CatalogueEntry entry) {
		return CatalogueWriter.write(entry).without("id").toString();
	}

}
