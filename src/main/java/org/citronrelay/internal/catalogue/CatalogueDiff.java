package org.citronrelay.internal.catalogue;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry;

/**
 * Which entries differ between two catalogues.
 */
public final class CatalogueDiff {

	private CatalogueDiff() {
	}

	/**
	 * The entries that were added, changed or removed, by kind and name; ids are not
	 * compared.
	 */
	public static Set<String> changed(Catalogue before, Catalogue after) {
		Map<String, String> old = index(before);
		Map<String, String> fresh = index(after);
		Set<String> changed = new TreeSet<>();
		old.forEach((place, content) -> {
			if (!content.equals(fresh.get(place))) {
				changed.add(place);
			}
		});
		fresh.keySet().stream().filter((place) -> !old.containsKey(place)).forEach(changed::add);
		return changed;
	}

	private static Map<String, String> index(Catalogue catalogue) {
		Map<String, String> index = new TreeMap<>();
		catalogue.entries()
			.forEach((entry) -> index.put(entry.getClass().getSimpleName() + "/" + entry.name(), content(entry)));
		index.put("Weights", catalogue.weights().toString());
		return index;
	}

	private static String content(CatalogueEntry entry) {
		return CatalogueWriter.write(entry).without("id").toString();
	}

}
