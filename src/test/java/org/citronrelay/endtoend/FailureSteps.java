package org.citronrelay.endtoend;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.platform.Vm;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Steps that kill, freeze and stop processes, and that simulate faults of the stand-ins.
 */
public class FailureSteps {

	private static final Duration TIMEOUT = Duration.ofSeconds(40);

	private final EndToEndSteps steps;

	private List<Future<Exchange>> calls = List.of();

	public FailureSteps() {
		this.steps = EndToEndSteps.current();
	}

	@When("the holder of {string} is killed and replaced by {string}")
	public void theHolderIsKilled(String domain, String replacement) {
		String holder = holder(domain);
		deployment().killEntry(holder);
		deployment().startEntry(replacement, domain);
	}

	@When("the holder of {string} is frozen for {int} seconds")
	public void theHolderIsFrozen(String domain, int seconds) throws IOException, InterruptedException {
		String holder = holder(domain);
		long pid = deployment().process(holder).pid();
		signal("STOP", pid);
		Thread.sleep(Duration.ofSeconds(seconds));
		signal("CONT", pid);
	}

	@Then("each of its members was started once")
	public void eachOfItsMembersWasStartedOnce() {
		Map<String, Integer> starts = new HashMap<>();
		for (Vm vm : deployment().vms()) {
			for (JsonNode event : workerEvents(vm)) {
				if (event.path("kind").asText().equals("task-start")
						&& event.path("id").asText().startsWith(this.steps.jobId() + ".")) {
					starts.merge(event.path("id").asText(), 1, Integer::sum);
				}
			}
		}
		assertThat(starts).hasSize(2).allSatisfy((task, count) -> assertThat(count).isEqualTo(1));
	}

	@When("the key-value service is unavailable")
	public void theKeyValueServiceIsUnavailable() {
		setKvFaults(Json.object().put("down", true));
	}

	@Then("the key-value service is restored")
	public void theKeyValueServiceIsRestored() {
		setKvFaults(Json.object());
	}

	@Then("a chart preview sent to {string} is answered")
	public void aChartPreviewIsAnswered(String entry) {
		assertThat(sendRequest(entry, "chart-preview").status()).isEqualTo(200);
	}

	@Then("a pricing run sent to {string} is answered as not run")
	public void aPricingRunIsAnsweredAsNotRun(String entry) {
		HttpReply reply = sendRequest(entry, "pricing-run");
		assertThat(reply.status()).isEqualTo(503);
		assertThat(reply.header("Citronrelay-Outcome").get()).isEqualTo("not-run");
		assertThat(reply.header("Retry-After").isDefined()).isTrue();
	}

	@When("the worker {string} starts draining")
	public void theWorkerStartsDraining(String id) {
		deployment().callStandIn(vm(id).address(),
				HttpCall.of("POST", "/control/faults").body(Json.bytes(Json.object().put("leaving", true))));
	}

	@Then("eventually no further request is sent to {string}")
	public void noFurtherRequestIsSent(String id) {
		for (int number = 0; number < 200; number++) {
			sendRequest(deployment().entryNames().get(number % deployment().entryNames().size()), "chart-preview");
		}
		await().atMost(TIMEOUT).until(() -> {
			long before = refusedRequests(id);
			for (int number = 0; number < 50; number++) {
				HttpReply reply = sendRequest(deployment().entryNames().get(number % deployment().entryNames().size()),
						"chart-preview");
				assertThat(reply.status()).isEqualTo(200);
			}
			return refusedRequests(id) == before;
		});
	}

	@When("{string} receives SIGTERM while {int} requests to it are in progress")
	public void receivesSigterm(String entry, int count) throws IOException, InterruptedException {
		this.calls = new ArrayList<>();
		ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
		for (int number = 0; number < count; number++) {
			this.calls.add(callers
				.submit(() -> deployment().exchangeWithEntry(entry, "team-token", request("chart-preview"), 10_000)));
		}
		signal("TERM", deployment().process(entry).pid());
	}

	@Then("all {int} requests are answered")
	public void allRequestsAreAnswered(int count) throws Exception {
		int answered = 0;
		List<String> failures = new ArrayList<>();
		for (Future<Exchange> call : this.calls) {
			boolean succeeded = call.get() instanceof Exchange.Answered reply && reply.reply().status() == 200;
			answered += succeeded ? 1 : 0;
			if (!succeeded) {
				failures.add(describe(call.get()));
			}
		}
		assertThat(answered).as(failures.toString()).isEqualTo(count);
	}

	@Then("{string} exits with code {int}")
	public void exitsWithCode(String entry, int code) throws InterruptedException {
		assertThat(deployment().process(entry).waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
		assertThat(deployment().process(entry).exitValue()).isEqualTo(code);
		deployment().removeEntry(entry);
	}

	private static String describe(Exchange exchange) {
		return switch (exchange) {
			case Exchange.Answered answered ->
				answered.reply().status() + " " + answered.reply().json().path("title").asText();
			case Exchange.NotSent notSent -> "not sent: " + notSent.reason();
			case Exchange.Broken broken -> "broken: " + broken.reason();
		};
	}

	/**
	 * Waits until an entry process of the failure domain holds its lease, and returns the
	 * name of this entry process.
	 */
	private String holder(String domain) {
		return await().atMost(TIMEOUT)
			.until(() -> deployment().entryNames()
				.stream()
				.filter((entry) -> entry.startsWith(domain))
				.filter((entry) -> metrics(entry).contains("citronrelay_holder 1.0"))
				.findFirst(), java.util.Optional::isPresent)
			.get();
	}

	private String metrics(String entry) {
		return new String(deployment().callEntry(entry, "", HttpCall.of("GET", "/metrics")).body());
	}

	private HttpReply sendRequest(String entry, String service) {
		return deployment().callEntry(entry, "team-token", request(service));
	}

	private static HttpCall request(String service) {
		return HttpCall.of("POST", "/v1/requests/" + service).header("Idempotency-Key", UUID.randomUUID().toString());
	}

	/**
	 * Returns how many requests the worker of a VM has refused so far.
	 */
	private long refusedRequests(String vmId) {
		long count = 0;
		for (JsonNode event : workerEvents(vm(vmId))) {
			count += event.path("kind").asText().equals("request-refused") ? 1 : 0;
		}
		return count;
	}

	private JsonNode workerEvents(Vm vm) {
		return deployment().callStandIn(vm.address(), HttpCall.of("GET", "/control/log")).json().path("events");
	}

	private Vm vm(String id) {
		return deployment().vms().stream().filter((vm) -> vm.id().equals(id)).findFirst().orElseThrow();
	}

	private void setKvFaults(JsonNode faults) {
		deployment().callStandIn(deployment().kvAddress(),
				HttpCall.of("POST", "/control/faults").body(Json.bytes(faults)));
	}

	private static ProcessDeployment deployment() {
		return EndToEndSteps.deployment();
	}

	private static void signal(String name, long pid) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
	}

}
