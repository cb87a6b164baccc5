package org.citronrelay.internal.cli;

import java.io.PrintStream;
import java.util.Comparator;

import org.apache.commons.cli.Option;

/**
 * Prints the help text of a command.
 */
final class HelpText {

	private static final String LINE_FORMAT = "  %-28s %s%n";

	private HelpText() {
	}

	static void print(PrintStream out, Command command) {
		out.println("Usage: citronrelay " + command.name() + " [OPTIONS]"
				+ (command.arguments().isEmpty() ? "" : " " + command.arguments()));
		out.println(command.summary());
		out.println();
		command.options()
			.getOptions()
			.stream()
			.sorted(Comparator.comparing(Option::getLongOpt))
			.forEach((option) -> out.printf(LINE_FORMAT, syntax(option),
					option.getDescription() + (option.isRequired() ? " Required." : "")));
		out.printf(LINE_FORMAT, "--help", "Prints this text.");
	}

	private static String syntax(Option option) {
		return "--" + option.getLongOpt() + (option.hasArg() ? " " + option.getArgName() : "");
	}

}
