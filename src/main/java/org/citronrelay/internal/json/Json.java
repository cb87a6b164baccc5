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
 * Parses and writes JSON, with one configuration for the whole process: duplicate keys
 * and content after the document are errors.
 */
public final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

	private Json() {
	}

	/**
	 * Returns a new, empty object.
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	/**
	 * Returns a new, empty array.
	 */
	public static ArrayNode array() {
		return MAPPER.createArrayNode();
	}

	/**
	 * Parses a document that may be malformed, such as the body of a request.
	 * @return the document, or a finding with the line and column of the error
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
			return Either.left(Findings.of("", location(ex), "well-formed JSON: " + ex.getOriginalMessage()));
		}
		catch (IOException ex) {
			return Either.left(Findings.of("", "bytes that are no text", "well-formed JSON: " + ex.getMessage()));
		}
	}

	/**
	 * Parses a document that citronrelay wrote, such as a stored record.
	 * @throws IllegalStateException if the document is malformed
	 */
	public static JsonNode parseTrusted(byte[] document) {
		return parse(document).getOrElseThrow((findings) -> new IllegalStateException(findings.text()));
	}

	/**
	 * Returns the document in UTF-8, without white space.
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
	 * Returns the document as indented text.
	 */
	public static String pretty(JsonNode node) {
		return node.toPrettyString();
	}

	private static String location(JsonProcessingException ex) {
		if (ex.getLocation() == null) {
			return "an error at an unknown position";
		}
		return "an error at line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr();
	}

}
