package org.citronrelay.internal.platform;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.json.Json;

/**
 * Client of the platform's VM list over HTTP and JSON.
 */
public final class HttpVmList implements VmList {

	private final HttpClient client;

	private final Address address;

	private final long timeoutMs;

	public HttpVmList(HttpClient client, Address address, long timeoutMs) {
		this.client = client;
		this.address = address;
		this.timeoutMs = timeoutMs;
	}

	@Override
	public Either<String, List<Vm>> vms() {
		return switch (this.client.exchange(this.address, HttpCall.of("GET", "/vms"), this.timeoutMs, false)) {
			case Exchange.Answered answered when answered.reply().status() == 200 ->
				Either.right(fromJson(answered.reply().json()));
			case Exchange.Answered answered -> Either.left("status " + answered.reply().status());
			case Exchange.NotSent notSent -> Either.left(notSent.reason());
			case Exchange.Broken broken -> Either.left(broken.reason());
		};
	}

	/**
	 * Returns the JSON document of a VM list.
	 */
	public static ObjectNode toJson(List<Vm> vms) {
		ObjectNode body = Json.object();
		for (Vm vm : vms) {
			body.withArray("vms")
				.addObject()
				.put("id", vm.id())
				.put("failureDomain", vm.failureDomain())
				.put("rack", vm.rack())
				.put("address", vm.address().toString())
				.put("accelerators", vm.accelerators())
				.put("cores", vm.cores())
				.put("memoryGb", vm.memoryGb())
				.put("slots", vm.slots())
				.put("connections", vm.connections())
				.put("leaving", vm.draining());
		}
		return body;
	}

	/**
	 * Reads the JSON document of a VM list. VMs without a valid address are skipped.
	 */
	public static List<Vm> fromJson(JsonNode body) {
		List<Vm> vms = new ArrayList<>();
		for (JsonNode node : body.path("vms")) {
			Address.parse(node.path("address").asText()).forEach((address) -> vms.add(vm(node, address)));
		}
		return vms;
	}

	private static Vm vm(JsonNode node, Address address) {
		return new Vm(node.path("id").asText(), node.path("failureDomain").asText(), node.path("rack").asText(),
				address, node.path("accelerators").asInt(), node.path("cores").asInt(), node.path("memoryGb").asInt(),
				node.path("slots").asInt(), node.path("connections").asInt(), node.path("leaving").asBoolean());
	}

}
