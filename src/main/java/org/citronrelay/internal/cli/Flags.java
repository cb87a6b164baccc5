package org.citronrelay.internal.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.citronrelay.internal.http.Address;

/**
 * Options that several commands share, and how they are read.
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
	 * The options of a command that calls an entry process.
	 */
	static Options client() {
		return new Options().addOption(required(ENTRY, "HOST:PORT", "The entry process to call."))
			.addOption(optional(TOKEN, "TOKEN", "The token; the variable CITRONRELAY_TOKEN where it is not given."))
			.addOption(output());
	}

	static Option output() {
		return optional(OUTPUT, "FORM", "text (the standard) or json.");
	}

	static Address address(CommandLine line, String name) throws UsageException {
		String text = line.getOptionValue(name);
		return Address.parse(text)
			.getOrElseThrow(() -> new UsageException("--" + name + " is \"" + text + "\".",
					"Give an IP number and a port, as 127.0.0.1:8080."));
	}

	static long number(CommandLine line, String name, long fallback) throws UsageException {
		String text = line.getOptionValue(name, Long.toString(fallback));
		if (!text.matches("[0-9]{1,15}")) {
			throw new UsageException("--" + name + " is \"" + text + "\".", "Give a whole number.");
		}
		return Long.parseLong(text);
	}

	static boolean json(CommandLine line) throws UsageException {
		String form = line.getOptionValue(OUTPUT, "text");
		if (!form.equals("text") && !form.equals(JSON)) {
			throw new UsageException("--output is \"" + form + "\".", "Give text or json.");
		}
		return form.equals(JSON);
	}

	static byte[] file(CommandLine line, String name) throws UsageException {
		String path = line.getOptionValue(name);
		try {
			return Files.readAllBytes(Path.of(path));
		}
		catch (IOException ex) {
			throw new UsageException("--" + name + " names " + path + ", which cannot be read.",
					"Check the path and its permissions.");
		}
	}

	static String only(CommandLine line, String what) throws UsageException {
		if (line.getArgList().size() != 1) {
			throw new UsageException("it takes " + what + ", given were " + line.getArgList().size() + " arguments.",
					"Give exactly one.");
		}
		return line.getArgList().getFirst();
	}

}
