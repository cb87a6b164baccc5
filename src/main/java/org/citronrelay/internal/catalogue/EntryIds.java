package org.citronrelay.internal.catalogue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry;
import org.citronrelay.CatalogueEntry.JobKind;
import org.citronrelay.CatalogueEntry.Service;
import org.citronrelay.CatalogueEntry.ServiceClass;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.Findings;
import org.citronrelay.internal.json.FindingCollector;

/**
 * Gives each entry its id: that of the parent version for an entry that stays, a new one
 * for an entry that is new.
 */
final class EntryIds {

	private static final String NONE = "-";

	private final FindingCollector collector = new FindingCollector();

	private final Map<String, String> known = new HashMap<>();

	private final boolean takesForeignIds;

	private final Supplier<String> fresh;

	private EntryIds(Catalogue parent, Supplier<String> fresh) {
		parent.entries().forEach((entry) -> this.known.put(place(entry), entry.id()));
		this.takesForeignIds = this.known.isEmpty();
		this.fresh = fresh;
	}

	static Either<Findings, Catalogue> assign(Catalogue parent, Catalogue changed, Supplier<String> fresh) {
		EntryIds ids = new EntryIds(parent, fresh);
		Catalogue assigned = new Catalogue(changed.deployment(), changed.weights(),
				ids.all("classes", changed.classes(),
						(entry, id) -> new ServiceClass(id, entry.name(), entry.owner(), entry.priority(),
								entry.urgent(), entry.limits(), entry.objective())),
				ids.all("teams", changed.teams(),
						(entry, id) -> new Team(id, entry.name(), entry.owner(), entry.serviceClass(), entry.limits(),
								entry.tokenDigests(), entry.guarantees())),
				ids.all("services", changed.services(),
						(entry, id) -> new Service(id, entry.name(), entry.owner(), entry.serviceClass(),
								entry.idempotent(), entry.limits())),
				ids.all("jobKinds", changed.jobKinds(), (entry, id) -> new JobKind(id, entry.name(), entry.owner(),
						entry.serviceClass(), entry.idempotent(), entry.reclaim(), entry.limits())));
		return ids.collector.outcome(assigned);
	}

	private <E extends CatalogueEntry> List<E> all(String section, List<E> entries, BiFunction<E, String, E> withId) {
		List<E> assigned = new java.util.ArrayList<>();
		for (int index = 0; index < entries.size(); index++) {
			E entry = entries.get(index);
			assigned.add(withId.apply(entry, id("/" + section + "/" + index + "/id", entry)));
		}
		return assigned;
	}

	private String id(String pointer, CatalogueEntry entry) {
		String kept = this.known.get(place(entry));
		boolean given = !entry.id().equals(NONE);
		if (kept != null) {
			if (given && !entry.id().equals(kept)) {
				this.collector.add(pointer, entry.id(), "the id of the entry of this name, " + kept);
			}
			return kept;
		}
		if (given && !this.takesForeignIds) {
			this.collector.add(pointer, entry.id(), "no id, since an entry that is made again is a new entry");
		}
		return given ? entry.id() : this.fresh.get();
	}

	private static String place(CatalogueEntry entry) {
		return entry.getClass().getSimpleName() + "/" + entry.name();
	}

}
