package org.citronrelay.internal.catalogue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.citronrelay.Catalogue;
import org.citronrelay.Catalogue.Weights;
import org.citronrelay.CatalogueEntry;
import org.citronrelay.CatalogueEntry.ClassLimits;
import org.citronrelay.CatalogueEntry.JobKind;
import org.citronrelay.CatalogueEntry.JobLimits;
import org.citronrelay.CatalogueEntry.Objective;
import org.citronrelay.CatalogueEntry.Service;
import org.citronrelay.CatalogueEntry.ServiceClass;
import org.citronrelay.CatalogueEntry.ServiceLimits;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.CatalogueEntry.TeamLimits;
import org.citronrelay.Findings;
import org.citronrelay.Guarantee;
import org.citronrelay.Reclaim;
import org.citronrelay.Shape;
import org.citronrelay.internal.json.FindingCollector;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.json.JsonCursor;

/**
 * Reads a catalogue from JSON and reports all its errors together.
 */
public final class CatalogueReader {

	private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

	private static final int MAX_WAIT_MS = 600_000;

	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private static final long MAX_RUN_MS = 365L * 24 * 3_600_000;

	private final FindingCollector collector = new FindingCollector();

	private CatalogueReader() {
	}

	/**
	 * Reads a document in UTF-8.
	 * @return the catalogue, or every error found in the document
	 */
	public static Either<Findings, Catalogue> read(byte[] document) {
		return Json.parse(document).flatMap(CatalogueReader::read);
	}

	/**
	 * Reads a parsed document.
	 * @return the catalogue, or every error found in the document
	 */
	public static Either<Findings, Catalogue> read(JsonNode document) {
		CatalogueReader reader = new CatalogueReader();
		Catalogue catalogue = reader.catalogue(JsonCursor.root(document, reader.collector));
		return reader.collector.toEither(catalogue);
	}

	private Catalogue catalogue(JsonCursor cursor) {
		String deployment = cursor.name("deployment");
		JsonCursor weights = cursor.object("weights");
		Weights readWeights = new Weights(weights.number("completionTime", 0, 1, 0.5),
				weights.number("fragmentation", 0, 1, 0.5));
		weights.rejectUnknownFields();
		List<ServiceClass> classes = cursor.objects("classes", this::serviceClass);
		List<Team> teams = cursor.objects("teams", this::team);
		List<Service> services = cursor.objects("services", this::service);
		List<JobKind> kinds = cursor.objects("jobKinds", this::jobKind);
		cursor.rejectUnknownFields();
		checkUniqueNames("classes", classes);
		checkUniqueNames("teams", teams);
		checkUniqueNames("services", services);
		checkUniqueNames("jobKinds", kinds);
		checkClassesExist("teams", teams, classes);
		checkClassesExist("services", services, classes);
		checkClassesExist("jobKinds", kinds, classes);
		return new Catalogue(deployment, readWeights, classes, teams, services, kinds);
	}

	private ServiceClass serviceClass(JsonCursor cursor) {
		String id = cursor.string("id", "-");
		String name = cursor.name("name");
		String owner = cursor.string("owner");
		int priority = cursor.integer("priority", 0, 99);
		boolean urgent = cursor.bool("urgent", false);
		JsonCursor limits = cursor.object("limits");
		ClassLimits readLimits = new ClassLimits(limits.integer("queueWaitMs", 0, MAX_WAIT_MS));
		limits.rejectUnknownFields();
		JsonCursor objective = cursor.object("objective");
		Objective readObjective = new Objective(objective.number("goodShare", 0.5, 0.99999, 0.99),
				objective.longInteger("latencyMs", 1, MAX_RUN_MS, 1_000L));
		objective.rejectUnknownFields();
		cursor.rejectUnknownFields();
		return new ServiceClass(id, name, owner, priority, urgent, readLimits, readObjective);
	}

	private Team team(JsonCursor cursor) {
		String id = cursor.string("id", "-");
		String name = cursor.name("name");
		String owner = cursor.string("owner");
		String serviceClass = cursor.name("class");
		JsonCursor limits = cursor.object("limits");
		TeamLimits readLimits = new TeamLimits(limits.integer("requestsInProgress", 0, 1_000_000),
				limits.integer("jobs", 0, 1_000_000), limits.integer("accelerators", 0, 1_000_000));
		limits.rejectUnknownFields();
		List<String> digests = cursor.strings("tokenDigests");
		for (String digest : digests) {
			if (!DIGEST.matcher(digest).matches()) {
				this.collector.add(cursor.pointer("tokenDigests"), digest, "SHA-256 digests in lower-case hex");
			}
		}
		List<Guarantee> guarantees = cursor.objects("guarantees", this::guarantee);
		cursor.rejectUnknownFields();
		return new Team(id, name, owner, serviceClass, readLimits, digests, guarantees);
	}

	private Guarantee guarantee(JsonCursor cursor) {
		String failureDomain = cursor.name("failureDomain");
		Shape shape = ShapeJson.read(cursor.object("shape"));
		int count = cursor.integer("count", 1, 1_000, 1);
		cursor.rejectUnknownFields();
		return new Guarantee(failureDomain, shape, count);
	}

	private Service service(JsonCursor cursor) {
		String id = cursor.string("id", "-");
		String name = cursor.name("name");
		String owner = cursor.string("owner");
		String serviceClass = cursor.name("class");
		boolean idempotent = cursor.bool("idempotent", false);
		JsonCursor limits = cursor.object("limits");
		ServiceLimits readLimits = new ServiceLimits(limits.integer("bodyBytes", 0, MAX_BODY_BYTES),
				limits.integer("answerBytes", 1, MAX_BODY_BYTES), limits.integer("deadlineMs", 1, MAX_WAIT_MS));
		limits.rejectUnknownFields();
		cursor.rejectUnknownFields();
		return new Service(id, name, owner, serviceClass, idempotent, readLimits);
	}

	private JobKind jobKind(JsonCursor cursor) {
		String id = cursor.string("id", "-");
		String name = cursor.name("name");
		String owner = cursor.string("owner");
		String serviceClass = cursor.name("class");
		boolean idempotent = cursor.bool("idempotent", false);
		Reclaim reclaim = cursor.enumConstant("reclaim", Reclaim.class, Reclaim.NEVER);
		JsonCursor limits = cursor.object("limits");
		JobLimits readLimits = new JobLimits(limits.integer("members", 1, Shape.MAX_MEMBERS),
				limits.longInteger("runMs", 1, MAX_RUN_MS, null), limits.integer("attempts", 1, 100, 3));
		limits.rejectUnknownFields();
		cursor.rejectUnknownFields();
		return new JobKind(id, name, owner, serviceClass, idempotent, reclaim, readLimits);
	}

	private void checkUniqueNames(String section, List<? extends CatalogueEntry> entries) {
		Map<String, Integer> firstIndexes = new HashMap<>();
		for (int index = 0; index < entries.size(); index++) {
			String name = entries.get(index).name();
			Integer firstIndex = firstIndexes.putIfAbsent(name, index);
			if (firstIndex != null && !name.isEmpty()) {
				this.collector.add("/" + section + "/" + index + "/name", "\"" + name + "\"",
						"a unique name (/" + section + "/" + firstIndex + " already has this one)");
			}
		}
	}

	private void checkClassesExist(String section, List<? extends CatalogueEntry> entries, List<ServiceClass> classes) {
		List<String> classNames = classes.stream().map(ServiceClass::name).toList();
		for (int index = 0; index < entries.size(); index++) {
			String name = entries.get(index).serviceClass();
			if (!name.isEmpty() && !classNames.contains(name)) {
				this.collector.add("/" + section + "/" + index + "/class", "\"" + name + "\"",
						"a class of this catalogue, one of " + classNames);
			}
		}
	}

}
