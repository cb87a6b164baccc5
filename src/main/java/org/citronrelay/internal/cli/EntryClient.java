package org.citronrelay.internal.cli;

import java.io.PrintStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;

/**
 * Calls the entry process that the options of a command name, and prints its answer as
 * text or JSON.
 */
final class EntryClient implements AutoCloseable {

	private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;

	private static final long TIMEOUT_MS = 60_000;

	private static final int FIRST_FAILURE_STATUS = 300;

	private final HttpClient client = new HttpClient(MAX_ANSWER_BYTES);

	private final Address address;

	private final String token;

	private final boolean json;

	private final PrintStream out;

	private final PrintStream err;

	EntryClient(CommandLine line, PrintStream out, PrintStream err) throws UsageException {
		this.address = Flags.address(line, Flags.ENTRY);
		this.token = line.getOptionValue(Flags.TOKEN, System.getenv().getOrDefault("CITRONRELAY_TOKEN", ""));
		this.json = Flags.isJsonOutput(line);
		this.out = out;
		this.err = err;
	}

	/**
	 * Sends a call with the token of the command line and waits for its answer for at
	 * most {@link #TIMEOUT_MS}.
	 */
	Exchange call(HttpCall call) {
		return this.client.exchange(this.address, call.header("Authorization", "Bearer " + this.token), TIMEOUT_MS,
				true);
	}

	/**
	 * Sends a call and prints the answer, or why there is none.
	 * @param printer prints the body of a successful answer as text; not used with
	 * {@code --output json}
	 * @return the exit code
	 */
	int print(HttpCall call, Printer printer) {
		return switch (call(call)) {
			case Exchange.Answered answered when answered.reply().status() < FIRST_FAILURE_STATUS ->
				printSuccess(answered.reply(), printer);
			case Exchange.Answered answered -> printProblem(answered.reply());
			case Exchange.NotSent notSent -> printNoAnswer("The call was not sent: " + notSent.reason());
			case Exchange.Broken broken -> printNoAnswer("The call may have been carried out: " + broken.reason());
		};
	}

	@Override
	public void close() {
		this.client.close();
	}

	private int printSuccess(HttpReply reply, Printer printer) {
		if (this.json) {
			this.out.println(Json.pretty(reply.json()));
		}
		else {
			printer.print(this.out, reply.json());
		}
		return 0;
	}

	private int printProblem(HttpReply reply) {
		JsonNode problem = reply.json();
		if (this.json) {
			this.out.println(Json.pretty(problem));
			return Program.FAILED;
		}
		this.err.println(problem.path("title").asText("status " + reply.status()));
		for (JsonNode finding : problem.path("findings")) {
			this.err.println("  at " + finding.path("pointer").asText() + ": found " + finding.path("value").asText()
					+ ", expected " + finding.path("allowed").asText());
		}
		for (JsonNode clash : problem.path("clashes")) {
			this.err.println("  changed both in this file and since its base version: " + clash.asText());
		}
		this.err.println(problem.path("next").asText());
		return Program.FAILED;
	}

	private int printNoAnswer(String reason) {
		this.err.println(reason + ".");
		this.err.println("Check --entry, or try another entry process.");
		return Program.FAILED;
	}

	/**
	 * Prints the body of a successful answer as text.
	 */
	@FunctionalInterface
	interface Printer {

		void print(PrintStream out, JsonNode body);

	}

}
