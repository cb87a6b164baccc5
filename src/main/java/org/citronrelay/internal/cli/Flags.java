package org.citronrelay.internal.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.citronrelay.internal.http.Address;

/**
 * Builds the options of the commands and reads their values.
 */
final class Flags {

	static final String ENTRY = "entry";

	static final String TOKEN = "token";

	static final String OUTPUT = "output";

	static final String FILE = "file";

	private static final String JSON = "json";

	private Flags() {
	}

	static Option required(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).required().get();
	}

	static Option optional(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
	}

	static Option flag(String name, String description) {
		return Option.builder().longOpt(name).desc(description).get();
	}

	/**
	 * Returns the options that all commands that call an entry process have in common.
	 */
	static Options clientOptions() {
		return new Options().addOption(required(ENTRY, "HOST:PORT", "The entry process to call."))
			.addOption(optional(TOKEN, "TOKEN", "The token; by default the value of the variable CITRONRELAY_TOKEN."))
			.addOption(outputOption());
	}

	static Option outputOption() {
		return optional(OUTPUT, "FORMAT", "text (the default) or json.");
	}

	/**
	 * Returns the address in a required option.
	 * @throws UsageException if it is not an IP address and a port
	 */
	static Address address(CommandLine line, String name) throws UsageException {
		String text = line.getOptionValue(name);
		return Address.parse(text)
			.getOrElseThrow(() -> new UsageException("--" + name + " is \"" + text + "\".",
					"Give an IP address and a port, for example 127.0.0.1:8080."));
	}

	/**
	 * Returns the number in an option, or the default if the option is not given.
	 * @throws UsageException if it is not a non-negative integer of at most 15 digits
	 */
	static long number(CommandLine line, String name, long defaultValue) throws UsageException {
		String text = line.getOptionValue(name, Long.toString(defaultValue));
		if (!text.matches("[0-9]{1,15}")) {
			throw new UsageException("--" + name + " is \"" + text + "\".",
					"Give a non-negative integer of at most 15 digits.");
		}
		return Long.parseLong(text);
	}

	/**
	 * Whether {@code --output json} is given.
	 * @throws UsageException if the format is unknown
	 */
	static boolean isJsonOutput(CommandLine line) throws UsageException {
		String format = line.getOptionValue(OUTPUT, "text");
		if (!format.equals("text") && !format.equals(JSON)) {
			throw new UsageException("--output is \"" + format + "\".", "Give text or json.");
		}
		return format.equals(JSON);
	}

	/**
	 * Returns the content of the file that an option names.
	 * @throws UsageException if it cannot be read
	 */
	static byte[] readFile(CommandLine line, String name) throws UsageException {
		String path = line.getOptionValue(name);
		try {
			return Files.readAllBytes(Path.of(path));
		}
		catch (IOException ex) {
			throw new UsageException("--" + name + " names " + path + ", which cannot be read.",
					"Check the path and its permissions.");
		}
	}

	/**
	 * Returns the only argument after the options.
	 * @param description what the argument is, for the message
	 * @throws UsageException if there is none or more than one
	 */
	static String singleArgument(CommandLine line, String description) throws UsageException {
		if (line.getArgList().size() != 1) {
			throw new UsageException("expected " + description + ", got " + line.getArgList().size() + " arguments.",
					"Give exactly one argument.");
		}
		return line.getArgList().getFirst();
	}

}
