package org.citronrelay.internal.json;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads the fields of one JSON object and collects a finding for each field that is
 * missing, of the wrong type, out of range or unknown. A field in error reads as an
 * allowed or empty value, so that reading continues and all errors are reported together.
 *
 * <pre>
 * JsonCursor cursor = JsonCursor.root(node, collector);
 * int port = cursor.integer("port", 1, 65535);
 * cursor.rejectUnknownFields();
 * </pre>
 */
public final class JsonCursor {

	private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]{0,62}");

	private final JsonNode node;

	private final String pointer;

	private final FindingCollector collector;

	private final Set<String> readFields = new HashSet<>();

	private JsonCursor(JsonNode node, String pointer, FindingCollector collector) {
		this.node = node;
		this.pointer = pointer;
		this.collector = collector;
		if (!node.isObject() && !node.isMissingNode()) {
			collector.add(pointer, node.toString(), "an object");
		}
	}

	/**
	 * Returns a cursor on the root of a document.
	 */
	public static JsonCursor root(JsonNode node, FindingCollector collector) {
		return new JsonCursor(node, "", collector);
	}

	/**
	 * Returns the JSON pointer of a field of this object.
	 */
	public String pointer(String field) {
		return this.pointer + "/" + field;
	}

	/**
	 * Returns the collector of this document, for checks beyond those of the cursor.
	 */
	public FindingCollector collector() {
		return this.collector;
	}

	/**
	 * Whether the field is present and not null.
	 */
	public boolean has(String field) {
		this.readFields.add(field);
		return this.node.hasNonNull(field);
	}

	/**
	 * Returns a required string that is not blank and has no control characters; empty on
	 * error.
	 */
	public String string(String field) {
		return string(field, null);
	}

	/**
	 * Returns a string that is not blank and has no control characters, the fallback if
	 * the field is missing; empty on error. Without a fallback the field is required.
	 */
	public String string(String field, String fallback) {
		JsonNode value = value(field, fallback != null, "a string");
		if (value == null) {
			return (fallback != null) ? fallback : "";
		}
		if (!value.isTextual() || value.textValue().isBlank() || hasControlCharacter(value.textValue())) {
			this.collector.add(pointer(field), value.toString(),
					"a string that is not blank and has no control characters");
			return "";
		}
		return value.textValue();
	}

	/**
	 * Returns a required name: 1 to 63 lower-case letters, digits and hyphens, starting
	 * with a letter.
	 */
	public String name(String field) {
		String text = string(field);
		if (!text.isEmpty() && !NAME.matcher(text).matches()) {
			this.collector.add(pointer(field), "\"" + text + "\"",
					"a name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter");
		}
		return text;
	}

	/**
	 * Returns the enum constant whose name is the value of the field, in lower case with
	 * hyphens; the fallback if the field is missing, the first constant on error. Without
	 * a fallback the field is required.
	 */
	public <E extends Enum<E>> E enumConstant(String field, Class<E> type, E fallback) {
		String text = string(field, (fallback != null) ? jsonName(fallback) : null);
		for (E constant : type.getEnumConstants()) {
			if (jsonName(constant).equals(text)) {
				return constant;
			}
		}
		if (!text.isEmpty()) {
			this.collector.add(pointer(field), "\"" + text + "\"",
					"one of " + Stream.of(type.getEnumConstants()).map(JsonCursor::jsonName).toList());
		}
		return type.getEnumConstants()[0];
	}

	/**
	 * Returns a required whole number from {@code min} to {@code max}.
	 */
	public int integer(String field, int min, int max) {
		return integer(field, min, max, null);
	}

	/**
	 * Returns a whole number from {@code min} to {@code max}, the fallback if the field
	 * is missing; {@code min} on error. Without a fallback the field is required.
	 */
	public int integer(String field, int min, int max, Integer fallback) {
		return (int) longInteger(field, min, max, (fallback != null) ? fallback.longValue() : null);
	}

	/**
	 * Returns a 64-bit whole number, as {@link #integer(String, int, int, Integer)} does.
	 */
	public long longInteger(String field, long min, long max, Long fallback) {
		String allowed = "a whole number from " + min + " to " + max;
		JsonNode value = value(field, fallback != null, allowed);
		if (value == null) {
			return (fallback != null) ? fallback : min;
		}
		if (!value.canConvertToLong() || !value.isIntegralNumber() || value.longValue() < min
				|| value.longValue() > max) {
			this.collector.add(pointer(field), value.toString(), allowed);
			return min;
		}
		return value.longValue();
	}

	/**
	 * Returns a number from {@code min} to {@code max}, the fallback if the field is
	 * missing or in error.
	 */
	public double number(String field, double min, double max, double fallback) {
		JsonNode value = value(field, true, "a number");
		if (value == null) {
			return fallback;
		}
		if (!value.isNumber() || value.doubleValue() < min || value.doubleValue() > max) {
			this.collector.add(pointer(field), value.toString(), "a number from " + min + " to " + max);
			return fallback;
		}
		return value.doubleValue();
	}

	/**
	 * Returns a boolean, the fallback if the field is missing or in error.
	 */
	public boolean bool(String field, boolean fallback) {
		JsonNode value = value(field, true, "true or false");
		if (value == null) {
			return fallback;
		}
		if (!value.isBoolean()) {
			this.collector.add(pointer(field), value.toString(), "true or false");
			return fallback;
		}
		return value.booleanValue();
	}

	/**
	 * Returns a cursor on an object field, a cursor without fields if it is missing.
	 */
	public JsonCursor object(String field) {
		this.readFields.add(field);
		return new JsonCursor(this.node.path(field), pointer(field), this.collector);
	}

	/**
	 * Reads each object of an array; empty if the field is missing or not an array.
	 */
	public <T> List<T> objects(String field, Function<JsonCursor, T> reader) {
		JsonNode value = value(field, true, "an array");
		List<T> result = new ArrayList<>();
		if (value == null) {
			return result;
		}
		if (!value.isArray()) {
			this.collector.add(pointer(field), value.toString(), "an array of objects");
			return result;
		}
		for (int index = 0; index < value.size(); index++) {
			result.add(reader.apply(new JsonCursor(value.get(index), pointer(field) + "/" + index, this.collector)));
		}
		return result;
	}

	/**
	 * Returns the strings of an array, empty if the field is missing.
	 */
	public List<String> strings(String field) {
		JsonNode value = value(field, true, "an array");
		List<String> result = new ArrayList<>();
		if (value == null) {
			return result;
		}
		for (JsonNode item : value) {
			if (!item.isTextual()) {
				this.collector.add(pointer(field), item.toString(), "an array of strings");
			}
			result.add(item.asText());
		}
		return result;
	}

	/**
	 * Returns the JSON value of a field unchecked, a missing node if there is none.
	 */
	public JsonNode raw(String field) {
		this.readFields.add(field);
		return this.node.path(field);
	}

	/**
	 * Adds a finding for each field of the object that has not been read through this
	 * cursor. Must be called after all known fields have been read.
	 */
	public void rejectUnknownFields() {
		this.node.fieldNames().forEachRemaining((field) -> {
			if (!this.readFields.contains(field)) {
				this.collector.add(pointer(field), "an unknown key",
						"one of " + this.readFields.stream().sorted().toList());
			}
		});
	}

	private JsonNode value(String field, boolean optional, String allowed) {
		this.readFields.add(field);
		JsonNode value = this.node.get(field);
		if (value != null && !value.isNull()) {
			return value;
		}
		if (!optional) {
			this.collector.add(pointer(field), "nothing", allowed);
		}
		return null;
	}

	private static String jsonName(Enum<?> constant) {
		return constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
	}

	private static boolean hasControlCharacter(String text) {
		return text.chars().anyMatch(Character::isISOControl);
	}

}
