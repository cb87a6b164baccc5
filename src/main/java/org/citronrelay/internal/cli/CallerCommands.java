package org.citronrelay.internal.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.json.Json;

/**
 * Commands for callers: sending requests and managing jobs.
 */
final class CallerCommands {

	private static final String KEY = "key";

	private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private final PrintStream out;

	private final PrintStream err;

	CallerCommands(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
	}

	List<Command> commands() {
		return List.of(
				new Command("request", "SERVICE", "Sends a request to a service and prints its answer.",
						Flags.clientOptions()
							.addOption(Flags.optional(Flags.FILE, "FILE", "The request body; empty by default."))
							.addOption(Flags.optional(KEY, "KEY", "The idempotency key; by default a new random one.")),
						this::request),
				new Command("job submit", "", "Submits a job.",
						Flags.clientOptions()
							.addOption(Flags.required(Flags.FILE, "FILE", "The job in JSON."))
							.addOption(Flags.optional(KEY, "KEY", "The idempotency key; by default a new random one.")),
						this::submit),
				new Command("job status", "JOB", "Prints the state of a job.", Flags.clientOptions(), this::status),
				new Command("job cancel", "JOB", "Cancels a job.", Flags.clientOptions(), this::cancel),
				new Command("job list", "", "Lists the jobs of the team; for operators, those of all teams.",
						Flags.clientOptions(), this::list));
	}

	private int request(CommandLine line) throws UsageException {
		HttpCall call = HttpCall.of("POST", "/v1/requests/" + Flags.singleArgument(line, "the name of a service"))
			.header(IDEMPOTENCY_KEY, line.getOptionValue(KEY, UUID.randomUUID().toString()))
			.body(line.hasOption(Flags.FILE) ? Flags.readFile(line, Flags.FILE) : new byte[0]);
		return send(line, call, (stream, body) -> stream.println(Json.pretty(body)));
	}

	private int submit(CommandLine line) throws UsageException {
		HttpCall call = HttpCall.of("POST", "/v1/jobs")
			.header(IDEMPOTENCY_KEY, line.getOptionValue(KEY, UUID.randomUUID().toString()))
			.body(Flags.readFile(line, Flags.FILE));
		return send(line, call, (stream, body) -> stream.println("Accepted as job " + body.path("id").asText() + "."));
	}

	private int status(CommandLine line) throws UsageException {
		return send(line, HttpCall.of("GET", "/v1/jobs/" + Flags.singleArgument(line, "the id of a job")),
				CallerCommands::printJob);
	}

	private int cancel(CommandLine line) throws UsageException {
		return send(line, HttpCall.of("DELETE", "/v1/jobs/" + Flags.singleArgument(line, "the id of a job")),
				CallerCommands::printJob);
	}

	private int list(CommandLine line) throws UsageException {
		return send(line, HttpCall.of("GET", "/v1/jobs"), (stream, body) -> {
			body.path("jobs").forEach((job) -> printJob(stream, job));
			body.path("notReached")
				.forEach((domain) -> stream.println("failure domain not reached: " + domain.asText()));
		});
	}

	private int send(CommandLine line, HttpCall call, EntryClient.Printer printer) throws UsageException {
		try (EntryClient client = new EntryClient(line, this.out, this.err)) {
			return client.print(call, printer);
		}
	}

	private static void printJob(PrintStream out, JsonNode job) {
		out.printf("%s  %-10s %-10s %s  %s%n", job.path("id").asText(), job.path("state").asText(),
				job.path("phase").asText("-"), job.path("team").asText(), job.path("kind").asText());
		if (!job.path("reason").asText().isEmpty()) {
			out.println("  reason: " + job.path("reason").asText());
		}
		job.path("placement").forEach((position) -> out.println("  on " + position.asText()));
		job.path("answers").forEach((answer) -> out.println("  answer: " + answer.asText()));
	}

}
