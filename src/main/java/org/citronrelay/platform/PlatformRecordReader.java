package org.citronrelay.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.citronrelay.Findings;
import org.citronrelay.internal.batch.Queue;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.QueueCatalogue.Route;
import org.citronrelay.internal.batch.QueueCatalogue.Team;
import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.VmRegistration;
import org.citronrelay.internal.cluster.ExternalRecordReader;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.json.Json;

/**
 * Reads the records that the platform's operators and workers keep in its metadata store:
 * the config with queues and teams, and the registrations of VMs.
 */
final class PlatformRecordReader implements ExternalRecordReader {

	private static final String DRAINING = "draining";

	@Override
	public String catalogueKey() {
		return "op/config";
	}

	@Override
	public String vmPrefix() {
		return "servers/";
	}

	@Override
	public Either<Findings, QueueCatalogue> catalogue(byte[] document) {
		return Json.parse(document).flatMap((root) -> {
			if (!root.path("version").canConvertToLong() || !root.path("routes").isArray()) {
				return Either.left(Findings.of("", "without a numeric version or an array of routes",
						"a config with version and routes"));
			}
			List<Route> routes = new ArrayList<>();
			root.path("routes").forEach((node) -> routes.add(route(node)));
			Map<String, Team> teams = new HashMap<>();
			Map<String, String> keys = new HashMap<>();
			for (JsonNode tenant : root.path("tenants")) {
				String name = tenant.path("name").asText();
				teams.put(name, new Team(name, tenant.path("guaranteed").path("gpu").asLong()));
				tenant.path("apiKeys").forEach((key) -> keys.put(key.asText(), name));
			}
			return Either.right(new QueueCatalogue(root.path("version").asLong(), routes, teams, keys,
					root.path("limits").path("maxBodyBytes").asInt(Integer.MAX_VALUE)));
		});
	}

	/**
	 * Reads the registration of a VM. A document that lacks a required field, or has one
	 * of another type or out of range, was not written by a worker and yields a finding
	 * instead of a VM. The last of several labels is the rack; a single label names no
	 * rack.
	 */
	@Override
	public Either<Findings, VmRegistration> vm(String id, byte[] document) {
		return Json.parse(document).flatMap((root) -> {
			List<String> unfit = WorkerEntryCheck.unfitFields(id, root);
			if (!unfit.isEmpty()) {
				return Either.left(Findings.of("/" + id, "missing or impossible: " + String.join(", ", unfit),
						"all fields of a worker's entry with their types"));
			}
			Address address = Address.parse(root.path("address").asText()).get();
			String state = root.path("state").asText();
			JsonNode capacity = root.path("capacity");
			Set<String> labels = new LinkedHashSet<>();
			String rack = "";
			for (JsonNode label : root.path("labels")) {
				labels.add(label.asText());
				rack = label.asText();
			}
			return Either.right(new VmRegistration(id, root.path("service").asText(), address,
					root.path("zone").asText(), root.path("born").asLong(), state.equals(DRAINING),
					root.path("remainingMs").asLong(VmRegistration.UNKNOWN), resources(capacity),
					(labels.size() > 1) ? rack : "", labels));
		});
	}

	static Resources resources(JsonNode node) {
		return new Resources(node.path("cpu").asLong(), node.path("memMb").asLong(), node.path("gpu").asLong());
	}

	private static Route route(JsonNode node) {
		Queue queue = new Queue(node.path("name").asText(), node.path("service").asText(),
				node.path("priority").asInt(), node.path("maxAttempts").asInt(1), node.path("slack").asDouble(1),
				node.path("sloMs").asLong());
		return new Route(node.path("host").asText(), node.path("prefix").asText(), node.path("anonymous").asBoolean(),
				queue);
	}

}
