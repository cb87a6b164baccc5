package org.citronrelay.internal.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citronrelay.Findings;
import org.citronrelay.internal.bench.Bench;
import org.citronrelay.internal.cluster.ClusterProcess;
import org.citronrelay.internal.cluster.ClusterSettings;
import org.citronrelay.internal.demo.Demo;
import org.citronrelay.internal.entry.EntryProcess;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.logging.LogSetup;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.settings.EntrySettings;
import org.citronrelay.internal.settings.LogSettings;
import org.citronrelay.platform.PlatformAdapter;
import sun.misc.Signal;

/**
 * The server and the demo.
 */
final class EntryCommands {

	private static final String SETTINGS = "settings";

	private static final String CHECK = "check";

	private static final String EXAMPLES = "examples";

	private final PrintStream out;

	private final PrintStream err;

	EntryCommands(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
	}

	List<Command> commands() {
		return List.of(
				new Command("entry", "", "Runs an entry process.",
						new Options().addOption(Flags.required(SETTINGS, "FILE", "The settings in JSON."))
							.addOption(Flags.flag(CHECK, "Only checks the settings.")),
						this::entry),
				new Command("cluster", "", "Runs a process of a cluster on the users' platform.",
						new Options()
							.addOption(Flags.optional(SETTINGS, "FILE",
									"The settings in JSON, by standard the file that the platform names."))
							.addOption(Flags.flag(CHECK, "Only checks the settings.")),
						this::cluster),
				new Command("warm-up", "", "Loads what a process of a cluster uses, for making a class archive.",
						new Options(), (line) -> new WarmUp().run()),
				new Command("demo", "[EXAMPLE]", "Runs an example with all parts in this process.",
						new Options().addOption(
								Flags.optional(EXAMPLES, "FOLDER", "Where the examples are, examples by standard.")),
						this::demo),
				new Command("bench", "GROUP", "Runs the benchmarks of a group: decisions, path or capacity.",
						new Options(), this::bench),
				new Command("version", "", "Prints the version.", new Options().addOption(Flags.output()),
						this::version));
	}

	private int entry(CommandLine line) {
		Either<Findings, EntrySettings> settings = EntrySettings.read(Path.of(line.getOptionValue(SETTINGS)));
		Option<Integer> checked = checked(line, settings);
		if (checked.isDefined()) {
			return checked.get();
		}
		setUpLogs(settings.get().log());
		return serve(settings.get());
	}

	private int cluster(CommandLine line) throws UsageException {
		String file = line.getOptionValue(SETTINGS, System.getenv(PlatformAdapter.SETTINGS_VARIABLE));
		if (file == null) {
			throw new UsageException("there is no settings file.", "Give --settings FILE.");
		}
		Either<Findings, ClusterSettings> settings = ClusterSettings.read(Path.of(file));
		Option<Integer> checked = checked(line, settings);
		if (checked.isDefined()) {
			return checked.get();
		}
		setUpLogs(settings.get().log());
		ClusterProcess process = new ClusterProcess(settings.get(), new PlatformAdapter());
		Signal.handle(new Signal("HUP"), (signal) -> reload(Path.of(file), settings.get()));
		return serve(process::start, process::stop, process::inProgress);
	}

	/**
	 * Settings take effect at the next start; a change is checked and said at once.
	 */
	private static void reload(Path file, ClusterSettings running) {
		ClusterSettings.read(file)
			.peek((settings) -> Part.ENTRY.logger()
				.atInfo()
				.addKeyValue("changed", !settings.equals(running))
				.log("Read the settings again."))
			.peekLeft((findings) -> Part.ENTRY.logger()
				.atError()
				.addKeyValue("findings", findings.text())
				.log("The changed settings are wrong; those before stay in force."));
	}

	/**
	 * The exit code where settings are wrong or were only to be checked, nothing where
	 * the process is to run.
	 */
	private Option<Integer> checked(CommandLine line, Either<Findings, ?> settings) {
		if (settings.isLeft()) {
			Findings findings = settings.getLeft();
			this.err.println("The settings have " + findings.list().size() + " finding(s):");
			this.err.println(findings.text());
			return Option.some(Program.WRONG_USE);
		}
		if (line.hasOption(CHECK)) {
			this.out.println("The settings are good.");
			return Option.some(0);
		}
		return Option.none();
	}

	private int serve(EntrySettings settings) {
		EntryProcess process = new EntryProcess(settings);
		return serve(process::start, process::stop, process::inProgress);
	}

	private int serve(Runnable start, IntSupplier stopPlanned, IntSupplier inProgress) {
		AtomicInteger cut = new AtomicInteger();
		CountDownLatch stopped = new CountDownLatch(1);
		AtomicBoolean stopping = new AtomicBoolean();
		Runnable stop = () -> {
			if (stopping.compareAndSet(false, true)) {
				cut.set(stopPlanned.getAsInt());
				stopped.countDown();
			}
			else {
				cut.set(inProgress.getAsInt());
				this.err.println("Stopped at once, " + cut.get() + " calls were cut.");
				stopped.countDown();
			}
		};
		Signal.handle(new Signal("TERM"), (signal) -> stop.run());
		Signal.handle(new Signal("INT"), (signal) -> stop.run());
		start.run();
		await(stopped);
		return (cut.get() == 0) ? 0 : Program.FAILED;
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void setUpLogs(LogSettings log) {
		if (log.format() == LogSettings.Format.JSON) {
			LogSetup.json();
		}
		LogSetup.level(log.level().name());
	}

	private int demo(CommandLine line) {
		String example = line.getArgList().isEmpty() ? "association" : line.getArgList().getFirst();
		LogSetup.level("WARN");
		return new Demo(Path.of(line.getOptionValue(EXAMPLES, EXAMPLES)), example, this.out).run();
	}

	private int bench(CommandLine line) throws UsageException {
		LogSetup.level("ERROR");
		String group = Flags.only(line, "the name of a group");
		if (!new Bench(this.out).run(group)) {
			throw new UsageException("there is no group \"" + group + "\".", "Give decisions, path or capacity.");
		}
		return 0;
	}

	private int version(CommandLine line) throws UsageException {
		String packaged = Program.class.getPackage().getImplementationVersion();
		String version = (packaged != null) ? packaged : "unpackaged";
		this.out
			.println(Flags.json(line) ? Json.pretty(Json.object().put("version", version)) : "citronrelay " + version);
		return 0;
	}

}
