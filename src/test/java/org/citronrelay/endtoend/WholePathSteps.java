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
 * Steps of the features on the whole path.
 */
public class WholePathSteps {

	private static final String TOKEN = "team-token";

	private static final Duration LIVENESS = Duration.ofSeconds(40);

	private static SeparateProcesses system;

	private static long version;

	private static WholePathSteps current;

	private static URI feature;

	private HttpReply reply;

	private String job;

	public WholePathSteps() {
		current = this;
	}

	static WholePathSteps current() {
		return current;
	}

	static SeparateProcesses system() {
		return system;
	}

	String job() {
		return this.job;
	}

	/**
	 * Each feature has a system of its own, since some of them kill its processes.
	 */
	@Before
	public void startAnewForAnotherFeature(Scenario scenario) {
		if (!scenario.getUri().equals(feature)) {
			stop();
			feature = scenario.getUri();
			version = 0;
		}
	}

	@Given("two failure domains with two entry processes each")
	public void twoFailureDomainsWithTwoEntryProcessesEach() {
		if (system != null) {
			return;
		}
		FleetPlan plan = new FleetPlan(
				List.of(new FleetPlan.DomainPlan("east", 2, 2, 2), new FleetPlan.DomainPlan("west", 2, 2, 2)),
				new FleetPlan.WorkerPlan(8, 64, 256, 8, 60));
		system = new SeparateProcesses(plan, 1);
		apply("east-entry-1", TestCatalogues.small());
	}

	@When("a pricing run is sent to {string}")
	public void aPricingRunIsSentTo(String entry) {
		this.reply = system.call(entry, TOKEN,
				HttpCall.of("POST", "/v1/requests/pricing-run")
					.header("Idempotency-Key", UUID.randomUUID().toString())
					.body(Json.bytes(Json.object().put("kit", "parabolic"))));
	}

	@Then("it is answered whole")
	public void itIsAnsweredWhole() {
		assertThat(this.reply.status()).as(this.reply.json().toString()).isEqualTo(200);
		assertThat(this.reply.header("Citronrelay-Outcome").get()).isEqualTo("done");
		assertThat(this.reply.json().path("service").asText()).isEqualTo("pricing-run");
	}

	@When("a gang of {int} members with {int} accelerators each is submitted to {string}")
	public void aGangIsSubmittedTo(int members, int accelerators, String entry) {
		submit(members, accelerators, entry, 100_000);
	}

	@When("a long gang of {int} members with {int} accelerators each is submitted to {string}")
	public void aLongGangIsSubmittedTo(int members, int accelerators, String entry) {
		submit(members, accelerators, entry, 2_000_000);
	}

	private void submit(int members, int accelerators, String entry, long runMs) {
		ObjectNode body = Json.object().put("kind", "reflector-test").put("runMs", runMs).put("payload", "gang");
		body.set("shape",
				Json.object().put("members", members).put("accelerators", accelerators).put("spread", "rack"));
		this.reply = system.call(entry, TOKEN, HttpCall.of("POST", "/v1/jobs").body(Json.bytes(body)));
		assertThat(this.reply.status()).as(this.reply.json().toString()).isEqualTo(201);
		this.job = this.reply.json().path("id").asText();
	}

	@Then("it runs whole on adjacent accelerators, as {string} can see")
	public void itRunsWholeOnAdjacentAccelerators(String entry) {
		JsonNode running = await().atMost(LIVENESS)
			.until(() -> status(entry), (status) -> status.path("phase").asText().equals("running"));
		Set<String> places = new HashSet<>();
		running.path("placement").forEach((place) -> places.add(place.asText()));
		assertThat(places).as(running.toString()).hasSize(2).allMatch((place) -> place.endsWith(":0-7"));
	}

	@Then("it finishes with the answers of {int} members, as {string} can see")
	public void itFinishesWithTheAnswersOfAllMembers(int members, String entry) {
		JsonNode done = await().atMost(LIVENESS)
			.until(() -> status(entry), (status) -> status.path("state").asText().equals("DONE"));
		assertThat(done.path("answers")).hasSize(members);
	}

	@When("the limit of the team is changed at {string}")
	public void theLimitOfTheTeamIsChangedAt(String entry) {
		apply(entry, TestCatalogues.small().replace("\"jobs\":50", "\"jobs\":51"));
	}

	@Then("the change is in force at every entry process")
	public void theChangeIsInForceAtEveryEntryProcess() {
		for (String entry : system.entries()) {
			await().atMost(LIVENESS)
				.until(() -> system.call(entry, SeparateProcesses.OPERATOR, HttpCall.of("GET", "/v1/catalogue"))
					.json()
					.path("number")
					.asLong() == version);
		}
	}

	@After
	public void forget() {
		this.reply = null;
	}

	@AfterAll
	public static void stop() {
		if (system != null) {
			system.close();
			system = null;
		}
	}

	private static void apply(String entry, String catalogue) {
		HttpReply applied = await().atMost(LIVENESS)
			.until(() -> system.call(entry, SeparateProcesses.OPERATOR,
					HttpCall.of("PUT", "/v1/catalogue")
						.query("base", Long.toString(version))
						.body(catalogue.getBytes(java.nio.charset.StandardCharsets.UTF_8))),
					(answer) -> answer.status() == 200);
		version = applied.json().path("number").asLong();
		for (String other : system.entries()) {
			await().atMost(LIVENESS)
				.until(() -> system.call(other, "", HttpCall.of("GET", "/health/ready")).status() == 200);
		}
	}

	private JsonNode status(String entry) {
		return system.call(entry, TOKEN, HttpCall.of("GET", "/v1/jobs/" + this.job)).json();
	}

}
