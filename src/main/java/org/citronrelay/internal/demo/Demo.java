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
import org.citronrelay.internal.report.BurnReport;
import org.citronrelay.internal.time.Pause;

/**
 * Runs the main job of an example: applies its catalogue, sends requests, submits a gang,
 * and shows answers, placement and the burn report.
 */
public final class Demo {

	private static final long SERVICE_MS = 5;

	private static final double TIME_SCALE = 0.001;

	private static final long STEP_MS = 50;

	private static final long MOST_MS = 30_000;

	private final Path folder;

	private final PrintStream out;

	/**
	 * Creates a demo.
	 * @param examples the folder of all examples
	 * @param name the name of the example
	 */
	public Demo(Path examples, String name, PrintStream out) {
		this.folder = examples.resolve(name);
		this.out = out;
	}

	/**
	 * Runs it.
	 * @return the exit code
	 */
	public int run() {
		if (!Files.isDirectory(this.folder)) {
			this.out.println("There is no example in " + this.folder + ".");
			return 2;
		}
		FleetPlan plan = FleetPlan.read(file("fleet.json"))
			.getOrElseThrow((findings) -> new IllegalStateException(findings.text()));
		JsonNode scenario = Json.parseOwn(file("scenario.json"));
		try (EmbeddedDeployment deployment = new EmbeddedDeployment(plan, SERVICE_MS, TIME_SCALE)) {
			this.out.printf("Started %d workers in %d failure domains and %d entry processes.%n",
					deployment.vms().size(), plan.domains().size(), deployment.addresses().size());
			JsonNode version = deployment.applyFirst(file("catalogue.json"));
			this.out.printf("Catalogue version %d is in force.%n", version.path("number").asLong());
			boolean answered = sendRequests(deployment, scenario.path("requests"));
			boolean finished = true;
			for (JsonNode job : scenario.path("jobs")) {
				finished &= runJob(deployment, job);
			}
			HttpReply report = deployment.call(0, EmbeddedDeployment.OPERATOR_TOKEN, HttpCall.of("GET", "/v1/report"));
			this.out.println();
			this.out.print(BurnReport.of(report.json()).text());
			return (answered && finished) ? 0 : 1;
		}
	}

	private boolean sendRequests(EmbeddedDeployment deployment, JsonNode requests) {
		boolean all = true;
		for (JsonNode request : requests) {
			int done = 0;
			JsonNode last = Json.object();
			int count = request.path("count").asInt();
			for (int number = 0; number < count; number++) {
				HttpCall call = HttpCall.of("POST", "/v1/requests/" + request.path("service").asText())
					.header("Idempotency-Key", UUID.randomUUID().toString())
					.body(Json.bytes(request.path("body")));
				HttpReply reply = deployment.call(number % deployment.addresses().size(),
						request.path("token").asText(), call);
				done += (reply.status() == 200) ? 1 : 0;
				last = reply.json();
			}
			this.out.printf("Service %s: %d of %d answered, the last with %s%n", request.path("service").asText(), done,
					count, last);
			all &= done == count;
		}
		return all;
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
		int other = deployment.addresses().size() - 1;
		String placement = "";
		for (long waited = 0; waited < MOST_MS; waited += STEP_MS) {
			JsonNode status = deployment.call(other, job.path("token").asText(), HttpCall.of("GET", "/v1/jobs/" + id))
				.json();
			if (placement.isEmpty() && status.path("phase").asText().equals("running")) {
				placement = status.path("placement").toString();
				this.out.println("  runs on " + placement);
			}
			if (status.path("state").asText().equals("DONE")) {
				this.out.printf("  done, %d members answered%n", status.path("answers").size());
				return true;
			}
			Pause.millis(STEP_MS);
		}
		this.out.println("  did not finish in time");
		return false;
	}

	private byte[] file(String name) {
		try {
			return Files.readAllBytes(this.folder.resolve(name));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
