package org.citronrelay.internal.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.report.BurnRateReport;
import org.citronrelay.internal.time.Pause;

/**
 * Runs an example in this process: applies its catalogue, sends its requests, submits its
 * jobs, and prints answers, placements and the service level report.
 */
public final class Demo {

	private static final long SERVICE_MS = 5;

	private static final double TIME_SCALE = 0.001;

	private static final long POLL_INTERVAL_MS = 50;

	private static final long JOB_TIMEOUT_MS = 30_000;

	private final Path folder;

	private final PrintStream out;

	/**
	 * Creates a demo.
	 * @param examples the folder of all examples
	 * @param name the name of the example, a folder in {@code examples}
	 * @param out receives the output
	 */
	public Demo(Path examples, String name, PrintStream out) {
		this.folder = examples.resolve(name);
		this.out = out;
	}

	/**
	 * Runs the example.
	 * @return the exit code: 0 if all requests and jobs succeeded, 1 if not, 2 if there
	 * is no such example
	 */
	public int run() {
		if (!Files.isDirectory(this.folder)) {
			this.out.println("There is no example in " + this.folder + ".");
			return 2;
		}
		FleetPlan plan = FleetPlan.read(readFile("fleet.json"))
			.getOrElseThrow((findings) -> new IllegalStateException(findings.text()));
		JsonNode scenario = Json.parseTrusted(readFile("scenario.json"));
		try (EmbeddedDeployment deployment = new EmbeddedDeployment(plan, SERVICE_MS, TIME_SCALE)) {
			this.out.printf("Started %d workers in %d failure domains and %d entry processes.%n",
					deployment.vms().size(), plan.domains().size(), deployment.addresses().size());
			JsonNode version = deployment.applyFirstCatalogue(readFile("catalogue.json"));
			this.out.printf("Catalogue version %d is in force.%n", version.path("number").asLong());
			boolean answered = sendRequests(deployment, scenario.path("requests"));
			boolean finished = true;
			for (JsonNode job : scenario.path("jobs")) {
				finished &= runJob(deployment, job);
			}
			HttpReply report = deployment.call(0, EmbeddedDeployment.OPERATOR_TOKEN, HttpCall.of("GET", "/v1/report"));
			this.out.println();
			this.out.print(BurnRateReport.fromJson(report.json()).text());
			return (answered && finished) ? 0 : 1;
		}
	}

	private boolean sendRequests(EmbeddedDeployment deployment, JsonNode requests) {
		boolean allAnswered = true;
		for (JsonNode request : requests) {
			int answered = 0;
			JsonNode last = Json.object();
			int count = request.path("count").asInt();
			for (int number = 0; number < count; number++) {
				HttpCall call = HttpCall.of("POST", "/v1/requests/" + request.path("service").asText())
					.header("Idempotency-Key", UUID.randomUUID().toString())
					.body(Json.bytes(request.path("body")));
				HttpReply reply = deployment.call(number % deployment.addresses().size(),
						request.path("token").asText(), call);
				answered += (reply.status() == 200) ? 1 : 0;
				last = reply.json();
			}
			this.out.printf("Service %s: %d of %d requests answered, the last one with %s%n",
					request.path("service").asText(), answered, count, last);
			allAnswered &= answered == count;
		}
		return allAnswered;
	}

	private boolean runJob(EmbeddedDeployment deployment, JsonNode job) {
		HttpReply accepted = deployment.call(0, job.path("token").asText(),
				HttpCall.of("POST", "/v1/jobs").body(Json.bytes(job.path("job"))));
		if (accepted.status() != 201) {
			this.out.println("Job refused: " + accepted.json().toPrettyString());
			return false;
		}
		String id = accepted.json().path("id").asText();
		this.out.printf("Job %s of kind %s is accepted.%n", id, job.path("job").path("kind").asText());
		int lastEntry = deployment.addresses().size() - 1;
		String placement = "";
		for (long waited = 0; waited < JOB_TIMEOUT_MS; waited += POLL_INTERVAL_MS) {
			JsonNode status = deployment
				.call(lastEntry, job.path("token").asText(), HttpCall.of("GET", "/v1/jobs/" + id))
				.json();
			if (placement.isEmpty() && status.path("phase").asText().equals("running")) {
				placement = status.path("placement").toString();
				this.out.println("  runs on " + placement);
			}
			if (status.path("state").asText().equals("DONE")) {
				this.out.printf("  done, %d members answered%n", status.path("answers").size());
				return true;
			}
			Pause.millis(POLL_INTERVAL_MS);
		}
		this.out.println("  not done after " + JOB_TIMEOUT_MS + " ms");
		return false;
	}

	private byte[] readFile(String name) {
		try {
			return Files.readAllBytes(this.folder.resolve(name));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
