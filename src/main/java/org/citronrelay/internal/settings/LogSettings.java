package org.citronrelay.internal.settings;

import java.util.Objects;

import org.citronrelay.internal.json.JsonCursor;

/**
 * How logs are written.
 *
 * @param format the form of a line
 * @param level the least level that is written
 */
public record LogSettings(Format format, Level level) {

	public LogSettings {
		Objects.requireNonNull(format, "format");
		Objects.requireNonNull(level, "level");
	}

	/**
	 * Reads the settings of logs.
	 */
	public static LogSettings read(JsonCursor cursor) {
		LogSettings settings = new LogSettings(cursor.choice("format", Format.class, Format.TEXT),
				cursor.choice("level", Level.class, Level.INFO));
		cursor.end();
		return settings;
	}

	/**
	 * The form of a line.
	 */
	public enum Format {

		/** A line of text. */
		TEXT,
		/** A line of JSON. */
		JSON

	}

	/**
	 * The levels.
	 */
	public enum Level {

		/** Everything. */
		DEBUG,
		/** What operators want to know. */
		INFO,
		/** What operators should look at. */
		WARN,
		/** What is broken. */
		ERROR

	}

}
