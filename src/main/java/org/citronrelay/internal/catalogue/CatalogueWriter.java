package org.citronrelay.internal.catalogue;

import java.util.Locale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry;
import org.citronrelay.CatalogueEntry.JobKind;
import org.citronrelay.CatalogueEntry.Service;
import org.citronrelay.CatalogueEntry.ServiceClass;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.Guarantee;
import org.citronrelay.internal.json.Json;

/**
 * Writes a catalogue as JSON. {@link CatalogueReader} reads the same catalogue back, and
 * equal catalogues give equal bytes, so that digests can be compared.
 */
public final class CatalogueWriter {

	private CatalogueWriter() {
	}

	/**
	 * Returns the catalogue as JSON.
	 */
	public static ObjectNode write(Catalogue catalogue) {
		ObjectNode body = Json.object();
		body.put("deployment", catalogue.deployment());
		body.putObject("weights")
			.put("completionTime", catalogue.weights().completionTime())
			.put("fragmentation", catalogue.weights().fragmentation());
		catalogue.classes().forEach((entry) -> body.withArray("classes").add(write(entry)));
		catalogue.teams().forEach((entry) -> body.withArray("teams").add(write(entry)));
		catalogue.services().forEach((entry) -> body.withArray("services").add(write(entry)));
		catalogue.jobKinds().forEach((entry) -> body.withArray("jobKinds").add(write(entry)));
		return body;
	}

	/**
	 * Returns an entry as JSON.
	 */
	public static ObjectNode write(CatalogueEntry entry) {
		ObjectNode body = Json.object().put("id", entry.id()).put("name", entry.name()).put("owner", entry.owner());
		switch (entry) {
			case ServiceClass serviceClass -> putFields(body, serviceClass);
			case Team team -> putFields(body.put("class", team.serviceClass()), team);
			case Service service -> putFields(body.put("class", service.serviceClass()), service);
			case JobKind kind -> putFields(body.put("class", kind.serviceClass()), kind);
		}
		return body;
	}

	private static void putFields(ObjectNode body, ServiceClass entry) {
		body.put("priority", entry.priority()).put("urgent", entry.urgent());
		body.putObject("limits").put("queueWaitMs", entry.limits().queueWaitMs());
		body.putObject("objective")
			.put("goodShare", entry.objective().goodShare())
			.put("latencyMs", entry.objective().latencyMs());
	}

	private static void putFields(ObjectNode body, Team entry) {
		body.putObject("limits")
			.put("requestsInProgress", entry.limits().requestsInProgress())
			.put("jobs", entry.limits().jobs())
			.put("accelerators", entry.limits().accelerators());
		entry.tokenDigests().forEach(body.putArray("tokenDigests")::add);
		for (Guarantee guarantee : entry.guarantees()) {
			body.withArray("guarantees")
				.addObject()
				.put("failureDomain", guarantee.failureDomain())
				.put("count", guarantee.count())
				.set("shape", ShapeJson.write(guarantee.shape()));
		}
	}

	private static void putFields(ObjectNode body, Service entry) {
		body.put("idempotent", entry.idempotent());
		body.putObject("limits")
			.put("bodyBytes", entry.limits().bodyBytes())
			.put("answerBytes", entry.limits().answerBytes())
			.put("deadlineMs", entry.limits().deadlineMs());
	}

	private static void putFields(ObjectNode body, JobKind entry) {
		body.put("idempotent", entry.idempotent());
		body.put("reclaim", entry.reclaim().name().toLowerCase(Locale.ROOT));
		body.putObject("limits")
			.put("members", entry.limits().members())
			.put("runMs", entry.limits().runMs())
			.put("attempts", entry.limits().attempts());
	}

}
