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
 * Reads the fields of one JSON object and collects a finding for each that is missing,
 * out of range or unknown.
 *
 * <pre>
 * JsonCursor cursor = JsonCursor.root(node, collector);
 * int port = cursor.integer("port", 1, 65535);
 * cursor.end();
 * </pre>
 */
public final class JsonCursor {

	private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]{0,62}");

	private final JsonNode node;

	private final String pointer;

	private final FindingCollector collector;

	private final Set<String> known = new HashSet<>();

	private JsonCursor(JsonNode node, String pointer, FindingCollector collector) {
		this.node = node;
		this.pointer = pointer;
		this.collector = collector;
		if (!node.isObject() && !node.isMissingNode()) {
			collector.add(pointer, node.toString(), "an object");
		}
	}

	/**
	 * A cursor on the whole document.
	 */
	public static JsonCursor root(JsonNode node, FindingCollector collector) {
		return new JsonCursor(node, "", collector);
	}

	/**
	 * The pointer of a field of this object.
	 */
	public String pointer(String field) {
		return this.pointer + "/" + field;
	}

	/**
	 * The place where further findings go.
	 */
	public FindingCollector collector() {
		return this.collector;
	}

	/**
	 * Whether the field is there.
	 */
	public boolean has(String field) {
		this.known.add(field);
		return this.node.hasNonNull(field);
	}

	/**
	 * A required text without control characters.
	 */
	public String text(String field) {
		return text(field, null);
	}

	/**
	 * A text without control characters, or the fallback.
	 */
	public String text(String field, String fallback) {
		JsonNode value = value(field, fallback != null, "a text");
		if (value == null) {
			return (fallback != null) ? fallback : "";
		}
		if (!value.isTextual() || value.textValue().isBlank() || hasControl(value.textValue())) {
			this.collector.add(pointer(field), value.toString(),
					"a text that is not blank, without control characters");
			return "";
		}
		return value.textValue();
	}

	/**
	 * A required name: lower-case letters, digits and hyphens.
	 */
	public String name(String field) {
		String text = text(field);
		if (!text.isEmpty() && !NAME.matcher(text).matches()) {
			this.collector.add(pointer(field), "\"" + text + "\"",
					"a name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter");
		}
		return text;
	}

	/**
	 * One of the given constants, written in lower case with hyphens.
	 */
	public <E extends Enum<E>> E choice(String field, Class<E> type, E fallback) {
		String text = text(field, (fallback != null) ? written(fallback) : null);
		for (E constant : type.getEnumConstants()) {
			if (written(constant).equals(text)) {
				return constant;
			}
		}
		if (!text.isEmpty()) {
			this.collector.add(pointer(field), "\"" + text + "\"",
					"one of " + Stream.of(type.getEnumConstants()).map(JsonCursor::written).toList());
		}
		return type.getEnumConstants()[0];
	}

	/**
	 * A required whole number.
	 */
	public int integer(String field, int least, int most) {
		return integer(field, least, most, null);
	}

	/**
	 * A whole number, or the fallback.
	 */
	public int integer(String field, int least, int most, Integer fallback) {
		return (int) longInteger(field, least, most, (fallback != null) ? fallback.longValue() : null);
	}

	/**
	 * A whole number of 64 bits, or the fallback.
	 */
	public long longInteger(String field, long least, long most, Long fallback) {
		String allowed = "a whole number from " + least + " to " + most;
		JsonNode value = value(field, fallback != null, allowed);
		if (value == null) {
			return (fallback != null) ? fallback : least;
		}
		if (!value.canConvertToLong() || !value.isIntegralNumber() || value.longValue() < least
				|| value.longValue() > most) {
			this.collector.add(pointer(field), value.toString(), allowed);
			return least;
		}
		return value.longValue();
	}

	/**
	 * A number, or the fallback.
	 */
	public double number(String field, double least, double most, double fallback) {
		JsonNode value = value(field, true, "a number");
		if (value == null) {
			return fallback;
		}
		if (!value.isNumber() || value.doubleValue() < least || value.doubleValue() > most) {
			this.collector.add(pointer(field), value.toString(), "a number from " + least + " to " + most);
			return fallback;
		}
		return value.doubleValue();
	}

	/**
	 * A truth value, or the fallback.
	 */
	public boolean truth(String field, boolean fallback) {
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
	 * A cursor on a field that is an object; on an empty one where it is missing.
	 */
	public JsonCursor object(String field) {
		this.known.add(field);
		return new JsonCursor(this.node.path(field), pointer(field), this.collector);
	}

	/**
	 * The objects of an array, empty where the field is missing.
	 */
	public <T> List<T> objects(String field, Function<JsonCursor, T> reader) {
		JsonNode value = value(field, true, "an array");
		List<T> read = new ArrayList<>();
		if (value == null) {
			return read;
		}
		if (!value.isArray()) {
			this.collector.add(pointer(field), value.toString(), "an array of objects");
			return read;
		}
		for (int index = 0; index < value.size(); index++) {
			read.add(reader.apply(new JsonCursor(value.get(index), pointer(field) + "/" + index, this.collector)));
		}
		return read;
	}

	/**
	 * The texts of an array, empty where the field is missing.
	 */
	public List<String> texts(String field) {
		JsonNode value = value(field, true, "an array");
		List<String> read = new ArrayList<>();
		if (value == null) {
			return read;
		}
		for (JsonNode item : value) {
			if (!item.isTextual()) {
				this.collector.add(pointer(field), item.toString(), "an array of texts");
			}
			read.add(item.asText());
		}
		return read;
	}

	/**
	 * The raw value of a field, a missing node where there is none.
	 */
	public JsonNode raw(String field) {
		this.known.add(field);
		return this.node.path(field);
	}

	/**
	 * Reports every field that was not read.
	 */
	public void end() {
		this.node.fieldNames().forEachRemaining((field) -> {
			if (!this.known.contains(field)) {
				this.collector.add(pointer(field), "an unknown key", "one of " + this.known.stream().sorted().toList());
			}
		});
	}

	private JsonNode value(String field, boolean optional, String allowed) {
		this.known.add(field);
		JsonNode value = this.node.get(field);
		if (value != null && !value.isNull()) {
			return value;
		}
		if (!optional) {
			this.collector.add(pointer(field), "nothing", allowed);
		}
		return null;
	}

	private static String written(Enum<?> constant) {
		return constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
	}

	private static boolean hasControl(String text) {
		return text.chars().anyMatch(Character::isISOControl);
	}

}
