package org.citronrelay.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.citronrelay.internal.batch.Queue;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.cluster.BatchJobService;
import org.citronrelay.internal.cluster.InMemoryClusterStore;
import org.citronrelay.internal.cluster.StoreReachability;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpReply;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PlatformJobApi}.
 */
class PlatformJobApiTests {

	private static final String ID = "5c0e7a21d94b36f8";

	private static final String JOB = "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":1}]}";

	private final InMemoryClusterStore store = new InMemoryClusterStore();

	private QueueCatalogue catalogue = new QueueCatalogue(3,
			List.of(new QueueCatalogue.Route("h.example", "/q/", false, new Queue("q", "s", 0, 2, 1, 1))), Map.of(),
			Map.of("good", "team"), 500);

	private final PlatformJobApi api = new PlatformJobApi(
			new BatchJobService(this.store, () -> 0, () -> StoreReachability.REACHABLE, (key, value) -> {
			}), () -> this.catalogue, () -> 42);

	@Test
	void aJobIsSubmittedLookedUpAndCancelled() {
		assertThat(call("POST", "/q/" + ID, JOB).status()).isEqualTo(200);
		assertThat(call("GET", "/q/" + ID, "").json().path("state").asText()).isEqualTo("queued");
		assertThat(call("DELETE", "/q/" + ID, "").status()).isEqualTo(200);
	}

	@Test
	void aJobThatWasNeverSubmittedIsAnsweredWithStatusGone() {
		assertThat(call("GET", "/q/" + ID, "").status()).isEqualTo(410);
		assertThat(call("DELETE", "/q/" + ID, "").status()).isEqualTo(410);
	}

	@Test
	void anUnknownKeyAndAnUnknownQueueHaveDifferentStatuses() {
		assertThat(this.api.handle(request("POST", "/q/" + ID, JOB, "Token bad")).status()).isEqualTo(401);
		assertThat(call("POST", "/other/" + ID, JOB).status()).isEqualTo(404);
	}

	@Test
	void callsAreRefusedBeforeTheFirstCatalogue() {
		// given
		this.catalogue = QueueCatalogue.NONE;
		// when
		HttpReply reply = call("POST", "/q/" + ID, JOB);
		// then
		assertThat(reply.status()).isEqualTo(503);
		assertThat(reply.header("Retry-After")).isNotEmpty();
	}

	@Test
	void whileTheStoreIsUnavailableNoJobIsAcceptedOrReportedAsGone() {
		// given
		this.store.refuseCalls(true);
		// then
		assertThat(call("POST", "/q/" + ID, JOB).status()).isEqualTo(503);
		assertThat(call("GET", "/q/" + ID, "").status()).isEqualTo(503);
		assertThat(call("DELETE", "/q/" + ID, "").status()).isEqualTo(503);
		assertThat(call("GET", "/q/", "").status()).isEqualTo(503);
	}

	@Test
	void aRefusalDoesNotDenyThatAnEarlierCallWithTheSameIdWasAccepted() {
		// given
		call("POST", "/q/" + ID, JOB);
		// when
		this.store.refuseCalls(true);
		HttpReply again = call("POST", "/q/" + ID, JOB);
		HttpReply lookup = call("GET", "/q/" + ID, "");
		// then
		assertThat(again.json().path("title").asText()).startsWith("This call stored no job")
			.doesNotContain("will not run");
		assertThat(lookup.json().path("title").asText()).startsWith("The state of the job cannot be read");
	}

	@Test
	void badInputIsAnsweredWithFindingsAndStoresNothing() {
		assertThat(call("POST", "/q/xyz", JOB).status()).isEqualTo(400);
		assertThat(call("POST", "/q/" + ID, "{").status()).isEqualTo(400);
		assertThat(call("POST", "/q/" + ID, JOB.replace("x", "x".repeat(600))).status()).isEqualTo(413);
		assertThat(call("PUT", "/q/" + ID, JOB).status()).isEqualTo(405);
		assertThat(this.store.list("").get().entries()).isEmpty();
	}

	private HttpReply call(String method, String path, String body) {
		return this.api.handle(request(method, path, body, "Token good"));
	}

	private static HttpCall request(String method, String path, String body, String authorization) {
		return HttpCall.of(method, path)
			.header("Host", "h.example:80")
			.header("Authorization", authorization)
			.body(body.getBytes(StandardCharsets.UTF_8));
	}

}
