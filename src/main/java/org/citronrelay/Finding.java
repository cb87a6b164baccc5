package org.citronrelay;

import java.util.Objects;

/**
 * An error in an input document, with its location.
 *
 * <pre>
 * new Finding("/teams/0/limits/rate", "-1", "a whole number from 1 to 100000");
 * </pre>
 *
 * @param pointer the JSON pointer of the value in error, empty for the whole document
 * @param value the value found, truncated to 80 characters
 * @param allowed what is allowed instead
 */
public record Finding(String pointer, String value, String allowed) {

	private static final int MAX_VALUE_CHARS = 80;

	public Finding {
		Objects.requireNonNull(pointer, "pointer");
		Objects.requireNonNull(allowed, "allowed");
		value = truncate(Objects.requireNonNull(value, "value"));
	}

	/**
	 * Returns the finding as one line of text.
	 */
	public String line() {
		return "at " + (this.pointer.isEmpty() ? "/" : this.pointer) + ": found " + this.value + ", expected "
				+ this.allowed;
	}

	private static String truncate(String value) {
		return (value.length() <= MAX_VALUE_CHARS) ? value : value.substring(0, MAX_VALUE_CHARS) + "...";
	}

}
