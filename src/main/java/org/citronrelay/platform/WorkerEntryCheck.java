package org.citronrelay.platform;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import org.citronrelay.internal.http.Address;

/**
 * Checks whether an entry of the store can be that of a worker. Other systems write to
 * the store, too, and what they write is not to be used.
 */
final class WorkerEntryCheck {

	/** The largest integer that all JSON libraries read exactly. */
	private static final long MAX_NUMBER = 1L << 53;

	private static final Pattern ID = Pattern.compile("[\\x21-\\x7e]{1,200}");

	private static final Set<String> STATES = Set.of("ready", "draining");

	private static final Map<JsonPointer, Predicate<JsonNode>> FIELDS = Map.ofEntries(
			Map.entry(JsonPointer.compile("/service"), JsonNode::isTextual),
			Map.entry(JsonPointer.compile("/address"), WorkerEntryCheck::isAddress),
			Map.entry(JsonPointer.compile("/zone"), JsonNode::isTextual),
			Map.entry(JsonPointer.compile("/version"), JsonNode::isTextual),
			Map.entry(JsonPointer.compile("/slots"), WorkerEntryCheck::amount),
			Map.entry(JsonPointer.compile("/coldLeftMs"), WorkerEntryCheck::amount),
			Map.entry(JsonPointer.compile("/state"), (node) -> STATES.contains(node.asText())),
			Map.entry(JsonPointer.compile("/sequence"), WorkerEntryCheck::amount),
			Map.entry(JsonPointer.compile("/born"), WorkerEntryCheck::whole),
			Map.entry(JsonPointer.compile("/remainingMs"), (node) -> node.isMissingNode() || amount(node)),
			Map.entry(JsonPointer.compile("/capacity/cpu"), WorkerEntryCheck::amount),
			Map.entry(JsonPointer.compile("/capacity/memMb"), WorkerEntryCheck::amount),
			Map.entry(JsonPointer.compile("/capacity/gpu"), (node) -> node.isMissingNode() || amount(node)),
			Map.entry(JsonPointer.compile("/labels"), WorkerEntryCheck::isListOfTexts));

	private WorkerEntryCheck() {
	}

	/**
	 * Returns the paths of the fields that no worker writes like this, in order; none if
	 * the entry is that of a worker.
	 */
	static List<String> unfitFields(String id, JsonNode entry) {
		List<String> unfit = new ArrayList<>();
		if (!ID.matcher(id).matches()) {
			unfit.add("the id in the key");
		}
		FIELDS.entrySet()
			.stream()
			.filter((field) -> !field.getValue().test(entry.at(field.getKey())))
			.map((field) -> field.getKey().toString())
			.sorted()
			.forEach(unfit::add);
		return unfit;
	}

	/**
	 * Whether a value is a whole number from 0 that is read exactly.
	 */
	static boolean whole(JsonNode node) {
		return node.isIntegralNumber() && amount(node);
	}

	private static boolean amount(JsonNode node) {
		return node.isNumber() && node.doubleValue() >= 0 && node.doubleValue() <= MAX_NUMBER;
	}

	/**
	 * Whether a value is an IP address and port. A host name would be looked up at each
	 * call.
	 */
	private static boolean isAddress(JsonNode node) {
		return node.isTextual() && Address.parse(node.asText()).exists((address) -> isIpAddress(address.host()));
	}

	private static boolean isIpAddress(String host) {
		try {
			return InetAddress.ofLiteral(host) != null;
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

	private static boolean isListOfTexts(JsonNode node) {
		if (!node.isArray()) {
			return false;
		}
		for (JsonNode element : node) {
			if (!element.isTextual()) {
				return false;
			}
		}
		return true;
	}

}
