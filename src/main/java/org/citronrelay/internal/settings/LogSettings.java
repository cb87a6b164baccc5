package org.citronrelay.internal.settings;

import java.util.Objects;

import org.citronrelay.internal.json.JsonCursor;

/**
 * The format and level of the log.
 *
 * @param format the format of a log line
 * @param level the lowest level that is logged
 */
public record LogSettings(Format format, Level level) {

	public LogSettings {
		Objects.requireNonNull(format, "format");
		Objects.requireNonNull(level, "level");
	}

	/**
	 * Reads the settings of the log; text and INFO are the defaults.
	 */
	public static LogSettings read(JsonCursor cursor) {
		LogSettings settings = new LogSettings(cursor.enumConstant("format", Format.class, Format.TEXT),
				cursor.enumConstant("level", Level.class, Level.INFO));
		cursor.rejectUnknownFields();
		return settings;
	}

	/**
	 * The format of a log line.
	 */
	public enum Format {

		/** Plain text. */
		TEXT,
		/** One JSON object per line. */
		JSON

	}

	/**
	 * The lowest level that is logged.
	 */
	public enum Level {

		/** All events. */
		DEBUG,
		/** Events of normal operation, warnings and errors. */
		INFO,
		/** Warnings and errors: what operators should look into. */
		WARN,
		/** Only errors. */
		ERROR

	}

}
