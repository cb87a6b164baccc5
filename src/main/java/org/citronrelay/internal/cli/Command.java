package org.citronrelay.internal.cli;

import java.util.Objects;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A subcommand.
 *
 * @param name its words, for example {@code job submit}
 * @param arguments the arguments behind its options, for the help
 * @param summary what it does, in one line
 * @param options its options
 * @param action what it does; gives the exit code
 */
record Command(String name, String arguments, String summary, Options options, Action action) {

	Command {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(options, "options");
		Objects.requireNonNull(action, "action");
	}

	/**
	 * What a command does.
	 */
	@FunctionalInterface
	interface Action {

		/**
		 * Runs the command.
		 * @return the exit code
		 * @throws UsageException if the arguments make no sense
		 */
		int run(CommandLine line) throws UsageException;

	}

}
