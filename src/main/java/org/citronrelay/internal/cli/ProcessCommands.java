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
import org.citronrelay.internal.bench.BenchmarkRunner;
import org.citronrelay.internal.build.BuildInfo;
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
 * Commands that run a server process, the demo or the benchmarks.
 */
final class ProcessCommands {

	private static final String SETTINGS = "settings";

	private static final String CHECK = "check";

	private static final String EXAMPLES = "examples";

	private final PrintStream out;

	private final PrintStream err;

	ProcessCommands(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
	}

	List<Command> commands() {
		return List.of(
				new Command("entry", "", "Runs an entry process.",
						new Options().addOption(Flags.required(SETTINGS, "FILE", "The settings in JSON."))
							.addOption(Flags.flag(CHECK, "Only checks the settings.")),
						this::entry),
				new Command("cluster", "", "Runs an entry process of a cluster on the users' platform.",
						new Options()
							.addOption(Flags.optional(SETTINGS, "FILE",
									"The settings in JSON; by default the file that the platform names."))
							.addOption(Flags.flag(CHECK, "Only checks the settings.")),
						this::cluster),
				new Command("warm-up", "", "Runs a cluster process briefly, to record its classes for a CDS archive.",
						new Options(), (line) -> new WarmUp().run()),
				new Command("demo", "[EXAMPLE]", "Runs an example with its VMs and entry processes in this process.",
						new Options().addOption(
								Flags.optional(EXAMPLES, "FOLDER", "The folder of the examples; by default examples.")),
						this::demo),
				new Command("bench", "GROUP", "Runs the benchmarks of a group: decisions, path or capacity.",
						new Options(), this::bench),
				new Command("version", "", "Prints the version and the build; also --version.",
						new Options().addOption(Flags.outputOption()), this::version));
	}

	private int entry(CommandLine line) {
		Either<Findings, EntrySettings> settings = EntrySettings.read(Path.of(line.getOptionValue(SETTINGS)));
		Option<Integer> exitCode = exitCodeOfCheck(line, settings);
		if (exitCode.isDefined()) {
			return exitCode.get();
		}
		configureLogging(settings.get().log());
		return serve(settings.get());
	}

	private int cluster(CommandLine line) throws UsageException {
		String file = line.getOptionValue(SETTINGS, System.getenv(PlatformAdapter.SETTINGS_VARIABLE));
		if (file == null) {
			throw new UsageException("no settings file is given.", "Give --settings FILE.");
		}
		Either<Findings, ClusterSettings> settings = ClusterSettings.read(Path.of(file));
		Option<Integer> exitCode = exitCodeOfCheck(line, settings);
		if (exitCode.isDefined()) {
			return exitCode.get();
		}
		configureLogging(settings.get().log());
		ClusterProcess process = new ClusterProcess(settings.get(), new PlatformAdapter());
		Signal.handle(new Signal("HUP"), (signal) -> checkChangedSettings(Path.of(file), settings.get()));
		return serve(process::start, process::stop, process::inProgress);
	}

	/**
	 * Checks the settings file and logs the result. A changed file takes effect only at
	 * the next start.
	 */
	private static void checkChangedSettings(Path file, ClusterSettings running) {
		ClusterSettings.read(file)
			.peek((settings) -> Part.ENTRY.logger()
				.atInfo()
				.addKeyValue("differsFromRunning", !settings.equals(running))
				.log("Read the settings file; a change takes effect at the next start"))
			.peekLeft((findings) -> Part.ENTRY.logger()
				.atError()
				.addKeyValue("findings", findings.text())
				.log("The settings file is invalid; the process keeps the settings it started with"));
	}

	/**
	 * Reports the result of reading the settings.
	 * @return the exit code if the settings are invalid or {@code --check} is given, none
	 * if the process is to run
	 */
	private Option<Integer> exitCodeOfCheck(CommandLine line, Either<Findings, ?> settings) {
		if (settings.isLeft()) {
			Findings findings = settings.getLeft();
			this.err.println("The settings have " + findings.list().size() + " finding(s):");
			this.err.println(findings.text());
			return Option.some(Program.USAGE_ERROR);
		}
		if (line.hasOption(CHECK)) {
			this.out.println("The settings are valid.");
			return Option.some(0);
		}
		return Option.none();
	}

	private int serve(EntrySettings settings) {
		EntryProcess process = new EntryProcess(settings);
		return serve(process::start, process::stop, process::inProgress);
	}

	/**
	 * Runs a process until a signal stops it. The first TERM or INT drains it; a second
	 * one stops it immediately.
	 * @param drain stops the process and returns how many calls were cut off
	 * @param inProgress returns how many calls are in progress
	 * @return the exit code, {@link Program#FAILED} if any call was cut off
	 */
	private int serve(Runnable start, IntSupplier drain, IntSupplier inProgress) {
		AtomicInteger cutOff = new AtomicInteger();
		CountDownLatch stopped = new CountDownLatch(1);
		AtomicBoolean stopping = new AtomicBoolean();
		Runnable stop = () -> {
			if (stopping.compareAndSet(false, true)) {
				cutOff.set(drain.getAsInt());
				stopped.countDown();
			}
			else {
				cutOff.set(inProgress.getAsInt());
				this.err.println(
						"Stopped before draining was complete; " + cutOff.get() + " calls in progress were cut off.");
				stopped.countDown();
			}
		};
		Signal.handle(new Signal("TERM"), (signal) -> stop.run());
		Signal.handle(new Signal("INT"), (signal) -> stop.run());
		start.run();
		await(stopped);
		return (cutOff.get() == 0) ? 0 : Program.FAILED;
	}

	/**
	 * Waits for the latch; returns early if the thread is interrupted.
	 */
	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void configureLogging(LogSettings log) {
		if (log.format() == LogSettings.Format.JSON) {
			LogSetup.logAsJson();
		}
		LogSetup.setLevel(log.level().name());
	}

	private int demo(CommandLine line) {
		String example = line.getArgList().isEmpty() ? "association" : line.getArgList().getFirst();
		LogSetup.setLevel("WARN");
		return new Demo(Path.of(line.getOptionValue(EXAMPLES, EXAMPLES)), example, this.out).run();
	}

	private int bench(CommandLine line) throws UsageException {
		LogSetup.setLevel("ERROR");
		String group = Flags.singleArgument(line, "the name of a group");
		if (!new BenchmarkRunner(this.out).run(group)) {
			throw new UsageException("there is no benchmark group \"" + group + "\".",
					"Give decisions, path or capacity.");
		}
		return 0;
	}

	private int version(CommandLine line) throws UsageException {
		BuildInfo build = BuildInfo.ofThisProcess();
		this.out.println(Flags.isJsonOutput(line)
				? Json.pretty(Json.object().put("version", build.version()).put("build", build.digest()))
				: "citronrelay " + build);
		return 0;
	}

}
