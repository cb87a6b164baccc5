package org.citronrelay.internal.cli;

import java.util.Objects;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A subcommand of the command line.
 *
 * @param name the words that select it, for example {@code job submit}
 * @param arguments the names of the arguments after its options, as shown in the help;
 * empty for none
 * @param summary one line for the help
 * @param options the options that it accepts
 * @param action runs the command and returns the exit code
 */
record Command(String name, String arguments, String summary, Options options, Action action) {

	Command {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(options, "options");
		Objects.requireNonNull(action, "action");
	}

	/**
	 * The implementation of a command.
	 */
	@FunctionalInterface
	interface Action {

		/**
		 * Runs the command.
		 * @return the exit code
		 * @throws UsageException if the arguments are invalid
		 */
		int run(CommandLine line) throws UsageException;

	}

}
