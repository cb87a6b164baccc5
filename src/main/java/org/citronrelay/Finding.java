package org.citronrelay;

import java.util.Objects;

/**
 * One fault found in an input, with its place.
 *
 * <pre>
 * new Finding("/teams/0/limits/rate", "-1", "a whole number from 1 to 100000");
 * </pre>
 *
 * @param pointer the JSON pointer of the value at fault, empty for the whole document
 * @param value the value as it was given, shortened where it is long
 * @param allowed what may stand there instead
 */
public record Finding(String pointer, String value, String allowed) {

	private static final int LONGEST_VALUE_CHARS = 80;

	public Finding {
		Objects.requireNonNull(pointer, "pointer");
		Objects.requireNonNull(allowed, "allowed");
		value = shortened(Objects.requireNonNull(value, "value"));
	}

	/**
	 * The finding as one line for a reader.
	 */
	public String line() {
		return "at " + (this.pointer.isEmpty() ? "/" : this.pointer) + ": found " + this.value + ", allowed is "
				+ this.allowed;
	}

	private static String shortened(String value) {
		return (value.length() <= LONGEST_VALUE_CHARS) ? value : value.substring(0, LONGEST_VALUE_CHARS) + "...";
	}

}
