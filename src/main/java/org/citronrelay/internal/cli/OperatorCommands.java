package org.citronrelay.internal.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citronrelay.Catalogue;
import org.citronrelay.Findings;
import org.citronrelay.internal.catalogue.CatalogueReader;
import org.citronrelay.internal.catalogue.CatalogueWriter;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.report.BurnRateReport;
import org.citronrelay.internal.time.Pause;

/**
 * Commands for operators: reading and changing the catalogue, and the service level
 * report.
 */
final class OperatorCommands {

	private static final String BASE = "base";

	private static final String WAIT = "wait";

	private static final String HTML = "html";

	private static final long POLL_INTERVAL_MS = 200;

	private static final long WAIT_TIMEOUT_MS = 30_000;

	private final PrintStream out;

	private final PrintStream err;

	OperatorCommands(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
	}

	List<Command> commands() {
		return List.of(
				new Command("catalogue validate", "", "Checks a catalogue without applying it.",
						new Options().addOption(Flags.required(Flags.FILE, "FILE", "The catalogue in JSON."))
							.addOption(Flags.outputOption()),
						this::validate),
				new Command("catalogue apply", "", "Applies a catalogue.", Flags.clientOptions()
					.addOption(Flags.required(Flags.FILE, "FILE", "The catalogue in JSON."))
					.addOption(Flags.required(BASE, "NUMBER",
							"The version that the file was edited from, 0 for the first catalogue."))
					.addOption(Flags.flag(WAIT, "Waits until every reachable entry process has the version in force.")),
						this::apply),
				new Command("catalogue show", "", "Prints the version in force at each entry process.",
						Flags.clientOptions(), this::show),
				new Command("catalogue history", "", "Lists the latest versions.", Flags.clientOptions(),
						this::history),
				new Command("catalogue export", "", "Prints the catalogue in force, for editing or importing.",
						Flags.clientOptions(), this::export),
				new Command("report", "", "Prints how fast error budgets are consumed and which guarantees fall short.",
						Flags.clientOptions()
							.addOption(
									Flags.optional(HTML, "FILE", "Writes an HTML page with charts to FILE instead.")),
						this::report));
	}

	private int validate(CommandLine line) throws UsageException {
		Either<Findings, Catalogue> read = CatalogueReader.read(Flags.readFile(line, Flags.FILE));
		if (Flags.isJsonOutput(line)) {
			JsonNode body = read.isLeft() ? Problem.findings("catalogue", read.getLeft()).body()
					: CatalogueWriter.write(read.get());
			this.out.println(Json.pretty(body));
		}
		else if (read.isLeft()) {
			this.err.println(read.getLeft().text());
		}
		else {
			this.out.println(
					"The catalogue is well-formed. Whether the VMs can hold its guarantees is checked when it is applied.");
		}
		return read.isLeft() ? Program.FAILED : 0;
	}

	private int apply(CommandLine line) throws UsageException {
		HttpCall call = HttpCall.of("PUT", "/v1/catalogue")
			.query("base", Long.toString(Flags.number(line, BASE, 0)))
			.body(Flags.readFile(line, Flags.FILE));
		try (EntryClient client = new EntryClient(line, this.out, this.err)) {
			long[] number = new long[1];
			int code = client.print(call, (stream, body) -> {
				number[0] = body.path("number").asLong();
				stream.println("Accepted as version " + number[0] + ", change " + body.path("changeId").asText() + ".");
			});
			return (code == 0 && line.hasOption(WAIT)) ? awaitInForce(client, number[0]) : code;
		}
	}

	/**
	 * Waits until a version is in force at every reachable entry process.
	 * @return the exit code, {@link Program#FAILED} after {@link #WAIT_TIMEOUT_MS}
	 */
	private int awaitInForce(EntryClient client, long number) {
		JsonNode entries = Json.array();
		for (long waited = 0; waited <= WAIT_TIMEOUT_MS; waited += POLL_INTERVAL_MS) {
			Exchange exchange = client.call(HttpCall.of("GET", "/v1/catalogue/in-force"));
			entries = (exchange instanceof Exchange.Answered answered) ? answered.reply().json().path("entries")
					: entries;
			if (!entries.isEmpty() && countOutdated(entries, number) == 0) {
				printInForce(this.out, entries);
				return 0;
			}
			Pause.millis(POLL_INTERVAL_MS);
		}
		printInForce(this.out, entries);
		this.err
			.println("The version is not in force at every reachable entry process after " + WAIT_TIMEOUT_MS + " ms.");
		return Program.FAILED;
	}

	private static int countOutdated(JsonNode entries, long number) {
		int outdated = 0;
		for (JsonNode entry : entries) {
			outdated += (entry.path("reached").asBoolean() && entry.path("version").asLong() < number) ? 1 : 0;
		}
		return outdated;
	}

	private int show(CommandLine line) throws UsageException {
		try (EntryClient client = new EntryClient(line, this.out, this.err)) {
			return client.print(HttpCall.of("GET", "/v1/catalogue/in-force"),
					(stream, body) -> printInForce(stream, body.path("entries")));
		}
	}

	private int history(CommandLine line) throws UsageException {
		try (EntryClient client = new EntryClient(line, this.out, this.err)) {
			return client.print(HttpCall.of("GET", "/v1/catalogue/history"),
					(stream, body) -> body.path("versions")
						.forEach((version) -> stream.printf("%6d  %s  %s  %s%n", version.path("number").asLong(),
								java.time.Instant.ofEpochMilli(version.path("atMs").asLong()),
								version.path("author").asText(), version.path("changeId").asText())));
		}
	}

	private int export(CommandLine line) throws UsageException {
		try (EntryClient client = new EntryClient(line, this.out, this.err)) {
			return client.print(HttpCall.of("GET", "/v1/catalogue"),
					(stream, body) -> stream.println(Json.pretty(body.path("catalogue"))));
		}
	}

	private int report(CommandLine line) throws UsageException {
		String page = line.getOptionValue(HTML, "");
		try (EntryClient client = new EntryClient(line, this.out, this.err)) {
			return client.print(HttpCall.of("GET", "/v1/report"), (stream, body) -> {
				BurnRateReport report = BurnRateReport.fromJson(body);
				if (page.isEmpty()) {
					stream.print(report.text());
				}
				else {
					writePage(page, report.html());
				}
			});
		}
	}

	private void writePage(String page, String text) {
		try {
			Files.writeString(Path.of(page), text);
			this.out.println("Wrote " + page + ".");
		}
		catch (IOException ex) {
			this.err.println("Could not write " + page + ": " + ex.getMessage() + ".");
		}
	}

	private static void printInForce(PrintStream out, JsonNode entries) {
		for (JsonNode entry : entries) {
			out.printf("%s  %-20s version %d%s%n", entry.path("process").asText(), entry.path("failureDomain").asText(),
					entry.path("version").asLong(),
					entry.path("reached").asBoolean() ? "" : "  (not reached, last known version)");
		}
	}

}
