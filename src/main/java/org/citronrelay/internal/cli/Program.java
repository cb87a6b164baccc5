package org.citronrelay.internal.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

import io.vavr.control.Option;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;

/**
 * The command line program: selects the command by its first one or two arguments and
 * runs it.
 */
public final class Program {

	/** The exit code of a command that failed. */
	public static final int FAILED = 1;

	/** The exit code for an unknown command, invalid options or invalid settings. */
	public static final int USAGE_ERROR = 2;

	private final List<Command> commands = new ArrayList<>();

	private final PrintStream out;

	private final PrintStream err;

	public Program(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
		this.commands.addAll(new ProcessCommands(out, err).commands());
		this.commands.addAll(new CallerCommands(out, err).commands());
		this.commands.addAll(new OperatorCommands(out, err).commands());
		this.commands.addAll(new StandInCommands(out).commands());
	}

	/**
	 * Runs the command that the arguments name, or prints the list of commands.
	 * @return the exit code
	 */
	public int run(String... arguments) {
		if (arguments.length == 0 || arguments[0].equals("--help") || arguments[0].equals("help")) {
			return overview();
		}
		Option<Command> command = find(arguments);
		if (command.isEmpty()) {
			this.err.println("citronrelay: there is no command \"" + String.join(" ", firstTwo(arguments)) + "\".");
			this.err.println("Run 'citronrelay --help' for the list of commands.");
			return USAGE_ERROR;
		}
		int words = command.get().name().split(" ").length;
		return run(command.get(), Arrays.copyOfRange(arguments, words, arguments.length));
	}

	private int run(Command command, String[] arguments) {
		if (Arrays.asList(arguments).contains("--help")) {
			HelpText.print(this.out, command);
			return 0;
		}
		try {
			CommandLine line = new DefaultParser().parse(command.options(), arguments);
			return command.action().run(line);
		}
		catch (ParseException ex) {
			return usageError(command, ex.getMessage() + ".", "");
		}
		catch (UsageException ex) {
			return usageError(command, ex.getMessage(), ex.advice());
		}
	}

	private int usageError(Command command, String problem, String advice) {
		this.err.println("citronrelay " + command.name() + ": " + problem);
		if (!advice.isEmpty()) {
			this.err.println(advice);
		}
		this.err.println("Run 'citronrelay " + command.name() + " --help' for its options.");
		return USAGE_ERROR;
	}

	private Option<Command> find(String[] arguments) {
		String words = String.join(" ", firstTwo(arguments)).replaceFirst("^--version\\b", "version");
		return Option.ofOptional(this.commands.stream()
			.filter((command) -> words.equals(command.name()) || words.startsWith(command.name() + " "))
			.max(Comparator.comparingInt((command) -> command.name().length())));
	}

	private int overview() {
		this.out.println("Usage: citronrelay COMMAND [OPTIONS]");
		this.out.println();
		for (Command command : this.commands) {
			this.out.printf("  %-22s %s%n", command.name(), command.summary());
		}
		this.out.println();
		this.out.println("Run 'citronrelay COMMAND --help' for the options of a command.");
		return 0;
	}

	private static List<String> firstTwo(String[] arguments) {
		return Arrays.asList(arguments).subList(0, Math.min(2, arguments.length));
	}

}
