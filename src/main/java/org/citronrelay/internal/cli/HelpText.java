package org.citronrelay.internal.cli;

import java.io.PrintStream;
import java.util.Comparator;

import org.apache.commons.cli.Option;

/**
 * The help of one command.
 */
final class HelpText {

	private static final String LINE = "  %-28s %s%n";

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
			.forEach((option) -> out.printf(LINE, form(option),
					option.getDescription() + (option.isRequired() ? " Required." : "")));
		out.printf(LINE, "--help", "Prints this text.");
	}

	private static String form(Option option) {
		return "--" + option.getLongOpt() + (option.hasArg() ? " " + option.getArgName() : "");
	}

}
