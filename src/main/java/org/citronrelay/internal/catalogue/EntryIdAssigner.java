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
 * Assigns an id to each entry of a changed catalogue. An entry that is in the parent
 * version, by kind and name, keeps its id; any other entry gets a new one. Ids given in
 * the document are accepted for new entries only if the parent version has no entries, so
 * that an exported catalogue can be imported with its ids.
 */
final class EntryIdAssigner {

	private static final String NO_ID = "-";

	private final FindingCollector collector = new FindingCollector();

	private final Map<String, String> parentIds = new HashMap<>();

	private final boolean acceptsGivenIds;

	private final Supplier<String> idGenerator;

	private EntryIdAssigner(Catalogue parent, Supplier<String> idGenerator) {
		parent.entries().forEach((entry) -> this.parentIds.put(key(entry), entry.id()));
		this.acceptsGivenIds = this.parentIds.isEmpty();
		this.idGenerator = idGenerator;
	}

	static Either<Findings, Catalogue> assign(Catalogue parent, Catalogue changed, Supplier<String> idGenerator) {
		EntryIdAssigner assigner = new EntryIdAssigner(parent, idGenerator);
		Catalogue assigned = new Catalogue(changed.deployment(), changed.weights(),
				assigner.assignAll("classes", changed.classes(),
						(entry, id) -> new ServiceClass(id, entry.name(), entry.owner(), entry.priority(),
								entry.urgent(), entry.limits(), entry.objective())),
				assigner.assignAll("teams", changed.teams(),
						(entry, id) -> new Team(id, entry.name(), entry.owner(), entry.serviceClass(), entry.limits(),
								entry.tokenDigests(), entry.guarantees())),
				assigner.assignAll("services", changed.services(),
						(entry, id) -> new Service(id, entry.name(), entry.owner(), entry.serviceClass(),
								entry.idempotent(), entry.limits())),
				assigner.assignAll("jobKinds", changed.jobKinds(), (entry, id) -> new JobKind(id, entry.name(),
						entry.owner(), entry.serviceClass(), entry.idempotent(), entry.reclaim(), entry.limits())));
		return assigner.collector.toEither(assigned);
	}

	private <E extends CatalogueEntry> List<E> assignAll(String section, List<E> entries,
			BiFunction<E, String, E> withId) {
		List<E> assigned = new java.util.ArrayList<>();
		for (int index = 0; index < entries.size(); index++) {
			E entry = entries.get(index);
			assigned.add(withId.apply(entry, idFor("/" + section + "/" + index + "/id", entry)));
		}
		return assigned;
	}

	private String idFor(String pointer, CatalogueEntry entry) {
		String parentId = this.parentIds.get(key(entry));
		boolean hasGivenId = !entry.id().equals(NO_ID);
		if (parentId != null) {
			if (hasGivenId && !entry.id().equals(parentId)) {
				this.collector.add(pointer, entry.id(), "the existing id of this entry, " + parentId);
			}
			return parentId;
		}
		if (hasGivenId && !this.acceptsGivenIds) {
			this.collector.add(pointer, entry.id(), "no id: an entry that is not in the current version gets a new id");
		}
		return hasGivenId ? entry.id() : this.idGenerator.get();
	}

	private static String key(CatalogueEntry entry) {
		return entry.getClass().getSimpleName() + "/" + entry.name();
	}

}
