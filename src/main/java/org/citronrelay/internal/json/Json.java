package org.citronrelay.internal.json;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.citronrelay.Findings;

/**
 * The one JSON mapper of the process.
 */
public final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

	private Json() {
	}

	/**
	 * An empty object.
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	/**
	 * An empty array.
	 */
	public static ArrayNode array() {
		return MAPPER.createArrayNode();
	}

	/**
	 * Parses a document from outside.
	 */
	public static Either<Findings, JsonNode> parse(byte[] document) {
		try {
			JsonNode node = MAPPER.readTree(document);
			if (node == null || node.isMissingNode()) {
				return Either.left(Findings.of("", "nothing", "a JSON document"));
			}
			return Either.right(node);
		}
		catch (JsonProcessingException ex) {
			return Either.left(Findings.of("", place(ex), "well-formed JSON: " + ex.getOriginalMessage()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Parses a document that this system wrote itself.
	 * @throws IllegalStateException if the document is damaged
	 */
	public static JsonNode parseOwn(byte[] document) {
		return parse(document).getOrElseThrow((findings) -> new IllegalStateException(findings.text()));
	}

	/**
	 * The document as bytes, without white space.
	 */
	public static byte[] bytes(JsonNode node) {
		try {
			return MAPPER.writeValueAsBytes(node);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * The document as text for people.
	 */
	public static String pretty(JsonNode node) {
		return node.toPrettyString();
	}

	private static String place(JsonProcessingException ex) {
		if (ex.getLocation() == null) {
			return "a fault";
		}
		return "line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr();
	}

}
