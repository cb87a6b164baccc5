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
import org.citronrelay.internal.batch.QueueCatalogue.Entry;
import org.citronrelay.internal.batch.QueueCatalogue.Team;
import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.VmReport;
import org.citronrelay.internal.cluster.ClusterSources;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.json.Json;

/**
 * Reads the operators' config and the workers' registrations.
 */
final class PlatformSources implements ClusterSources {

	private static final String READY = "ready";

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
				return Either.left(Findings.of("", "a document", "a config with version and routes"));
			}
			List<Entry> entries = new ArrayList<>();
			root.path("routes").forEach((route) -> entries.add(entry(route)));
			Map<String, Team> teams = new HashMap<>();
			Map<String, String> keys = new HashMap<>();
			for (JsonNode tenant : root.path("tenants")) {
				String name = tenant.path("name").asText();
				teams.put(name, new Team(name, tenant.path("guaranteed").path("gpu").asLong()));
				tenant.path("apiKeys").forEach((key) -> keys.put(key.asText(), name));
			}
			return Either.right(new QueueCatalogue(root.path("version").asLong(), entries, teams, keys,
					root.path("limits").path("maxBodyBytes").asInt(Integer.MAX_VALUE)));
		});
	}

	/**
	 * Reads a registration. One that lacks a field, or has one of another type, comes
	 * from another writer and names no VM.
	 */
	@Override
	public Either<Findings, VmReport> vm(String id, byte[] document) {
		return Json.parse(document).flatMap((root) -> {
			Address address = Address.parse(root.path("address").asText()).getOrNull();
			String state = root.path("state").asText();
			JsonNode capacity = root.path("capacity");
			boolean whole = root.path("service").isTextual() && address != null
					&& (state.equals(READY) || state.equals(DRAINING)) && root.path("born").canConvertToLong()
					&& capacity.path("cpu").isNumber() && capacity.path("memMb").isNumber()
					&& root.path("sequence").isNumber() && root.path("labels").isArray();
			if (!whole) {
				return Either.left(Findings.of("/" + id, "a registration", "all fields of a worker"));
			}
			Set<String> labels = new LinkedHashSet<>();
			String rack = "";
			for (JsonNode label : root.path("labels")) {
				labels.add(label.asText());
				rack = label.asText();
			}
			return Either.right(new VmReport(id, root.path("service").asText(), address, root.path("zone").asText(),
					root.path("born").asLong(), state.equals(DRAINING), resources(capacity),
					(labels.size() > 1) ? rack : "", labels));
		});
	}

	static Resources resources(JsonNode node) {
		return new Resources(node.path("cpu").asLong(), node.path("memMb").asLong(), node.path("gpu").asLong());
	}

	private static Entry entry(JsonNode route) {
		Queue queue = new Queue(route.path("name").asText(), route.path("service").asText(),
				route.path("priority").asInt(), route.path("maxAttempts").asInt(1), route.path("slack").asDouble(1),
				route.path("sloMs").asLong());
		return new Entry(route.path("host").asText(), route.path("prefix").asText(),
				route.path("anonymous").asBoolean(), queue);
	}

}
