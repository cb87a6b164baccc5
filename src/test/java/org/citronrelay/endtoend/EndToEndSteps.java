package org.citronrelay.endtoend;

import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cucumber.java.After;
import io.cucumber.java.AfterAll;
import io.cucumber.java.Before;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.citronrelay.internal.demo.FleetPlan;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Steps that start the deployment, submit requests and jobs, and change the catalogue.
 */
public class EndToEndSteps {

	private static final String TOKEN = "team-token";

	private static final Duration TIMEOUT = Duration.ofSeconds(40);

	private static ProcessDeployment deployment;

	private static long catalogueNumber;

	private static EndToEndSteps current;

	private static URI currentFeature;

	private HttpReply reply;

	private String jobId;

	public EndToEndSteps() {
		current = this;
	}

	static EndToEndSteps current() {
		return current;
	}

	static ProcessDeployment deployment() {
		return deployment;
	}

	String jobId() {
		return this.jobId;
	}

	/**
	 * Stops the deployment of the previous feature, so that each feature starts with a
	 * new one. Some features kill processes of their deployment.
	 */
	@Before
	public void stopDeploymentOfPreviousFeature(Scenario scenario) {
		if (!scenario.getUri().equals(currentFeature)) {
			stop();
			currentFeature = scenario.getUri();
			catalogueNumber = 0;
		}
	}

	@Given("two failure domains with two entry processes each")
	public void twoFailureDomainsWithTwoEntryProcessesEach() {
		if (deployment != null) {
			return;
		}
		FleetPlan plan = new FleetPlan(
				List.of(new FleetPlan.DomainPlan("east", 2, 2, 2), new FleetPlan.DomainPlan("west", 2, 2, 2)),
				new FleetPlan.WorkerPlan(8, 64, 256, 8, 60));
		deployment = new ProcessDeployment(plan, 1);
		applyCatalogue("east-entry-1", TestCatalogues.oneTeam());
	}

	@When("a pricing run is sent to {string}")
	public void aPricingRunIsSentTo(String entry) {
		this.reply = deployment.callEntry(entry, TOKEN,
				HttpCall.of("POST", "/v1/requests/pricing-run")
					.header("Idempotency-Key", UUID.randomUUID().toString())
					.body(Json.bytes(Json.object().put("kit", "parabolic"))));
	}

	@Then("it is answered with the outcome done")
	public void itIsAnsweredWithTheOutcomeDone() {
		assertThat(this.reply.status()).as(this.reply.json().toString()).isEqualTo(200);
		assertThat(this.reply.header("Citronrelay-Outcome").get()).isEqualTo("done");
		assertThat(this.reply.json().path("service").asText()).isEqualTo("pricing-run");
	}

	@When("a gang of {int} members with {int} accelerators each is submitted to {string}")
	public void aGangIsSubmittedTo(int members, int accelerators, String entry) {
		submit(members, accelerators, entry, 100_000);
	}

	@When("a long-running gang of {int} members with {int} accelerators each is submitted to {string}")
	public void aLongRunningGangIsSubmittedTo(int members, int accelerators, String entry) {
		submit(members, accelerators, entry, 2_000_000);
	}

	private void submit(int members, int accelerators, String entry, long runMs) {
		ObjectNode body = Json.object().put("kind", "reflector-test").put("runMs", runMs).put("payload", "gang");
		body.set("shape",
				Json.object().put("members", members).put("accelerators", accelerators).put("spread", "rack"));
		this.reply = deployment.callEntry(entry, TOKEN, HttpCall.of("POST", "/v1/jobs").body(Json.bytes(body)));
		assertThat(this.reply.status()).as(this.reply.json().toString()).isEqualTo(201);
		this.jobId = this.reply.json().path("id").asText();
	}

	@Then("all its members run on adjacent accelerators, as seen from {string}")
	public void allMembersRunOnAdjacentAccelerators(String entry) {
		JsonNode running = await().atMost(TIMEOUT)
			.until(() -> jobStatus(entry), (status) -> status.path("phase").asText().equals("running"));
		Set<String> locations = new HashSet<>();
		running.path("placement").forEach((location) -> locations.add(location.asText()));
		assertThat(locations).as(running.toString()).hasSize(2).allMatch((location) -> location.endsWith(":0-7"));
	}

	@Then("it finishes with the answers of {int} members, as seen from {string}")
	public void itFinishesWithTheAnswersOfItsMembers(int members, String entry) {
		JsonNode done = await().atMost(TIMEOUT)
			.until(() -> jobStatus(entry), (status) -> status.path("state").asText().equals("DONE"));
		assertThat(done.path("answers")).hasSize(members);
	}

	@When("the job limit of the team is changed at {string}")
	public void theJobLimitOfTheTeamIsChangedAt(String entry) {
		applyCatalogue(entry, TestCatalogues.oneTeam().replace("\"jobs\":50", "\"jobs\":51"));
	}

	@Then("the change is in force at every entry process")
	public void theChangeIsInForceAtEveryEntryProcess() {
		for (String entry : deployment.entryNames()) {
			await().atMost(TIMEOUT)
				.until(() -> deployment
					.callEntry(entry, ProcessDeployment.OPERATOR_TOKEN, HttpCall.of("GET", "/v1/catalogue"))
					.json()
					.path("number")
					.asLong() == catalogueNumber);
		}
	}

	@After
	public void clearReply() {
		this.reply = null;
	}

	@AfterAll
	public static void stop() {
		if (deployment != null) {
			deployment.close();
			deployment = null;
		}
	}

	private static void applyCatalogue(String entry, String catalogue) {
		HttpReply applied = await().atMost(TIMEOUT)
			.until(() -> deployment.callEntry(entry, ProcessDeployment.OPERATOR_TOKEN,
					HttpCall.of("PUT", "/v1/catalogue")
						.query("base", Long.toString(catalogueNumber))
						.body(catalogue.getBytes(java.nio.charset.StandardCharsets.UTF_8))),
					(answer) -> answer.status() == 200);
		catalogueNumber = applied.json().path("number").asLong();
		for (String other : deployment.entryNames()) {
			await().atMost(TIMEOUT)
				.until(() -> deployment.callEntry(other, "", HttpCall.of("GET", "/health/ready")).status() == 200);
		}
	}

	private JsonNode jobStatus(String entry) {
		return deployment.callEntry(entry, TOKEN, HttpCall.of("GET", "/v1/jobs/" + this.jobId)).json();
	}

}
