package org.citronrelay.internal.bench;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntFunction;

import com.fasterxml.jackson.databind.JsonNode;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.demo.EmbeddedDeployment;
import org.citronrelay.internal.demo.FleetPlan;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.time.Pause;

/**
 * Measures requests through the entry processes, compared with the same load sent
 * directly to the workers, and catalogue changes, reclaims and idle load of a small
 * deployment.
 */
final class RequestPathBenchmark {

	private static final String TOKEN = "bench-team";

	private static final int CALLERS = 8;

	private static final int REQUESTS = 4_000;

	private static final int IDLE_PERIOD_MS = 20_000;

	/**
	 * Keeps the at-most-once load below the write rate that the key-value service
	 * accepts.
	 */
	private static final int PAUSE_BETWEEN_REQUESTS_MS = 25;

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final List<Measurement> measurements = new ArrayList<>();

	private final EmbeddedDeployment deployment;

	private final HttpClient client = new HttpClient(1024 * 1024);

	private String lastJobId = "";

	private RequestPathBenchmark(EmbeddedDeployment deployment) {
		this.deployment = deployment;
	}

	static List<Measurement> run() {
		FleetPlan plan = new FleetPlan(
				List.of(new FleetPlan.DomainPlan("east", 4, 4, 2), new FleetPlan.DomainPlan("west", 4, 4, 2)),
				new FleetPlan.WorkerPlan(8, 128, 512, 8, 60));
		try (EmbeddedDeployment deployment = new EmbeddedDeployment(plan, 2, 0.01)) {
			deployment.applyFirstCatalogue(catalogueWithJobLimit(50));
			RequestPathBenchmark benchmark = new RequestPathBenchmark(deployment);
			benchmark.measureRequests();
			benchmark.measureCatalogueChange();
			benchmark.measureUrgentGang();
			benchmark.measureIdleKvCalls();
			benchmark.client.close();
			return benchmark.measurements;
		}
	}

	private void measureRequests() {
		// Warm-up; the results are not used.
		runLoad((number) -> callWorkerDirectly(number));
		runLoad((number) -> callEntryProcess(number, "chart-preview"));
		Histogram direct = runLoad((number) -> callWorkerDirectly(number));
		long callsBefore = kvCalls();
		Histogram idempotent = runLoad((number) -> callEntryProcess(number, "chart-preview"));
		long idempotentCalls = kvCalls() - callsBefore;
		callsBefore = kvWrites();
		Histogram atMostOnce = runLoad((number) -> {
			Pause.millis(PAUSE_BETWEEN_REQUESTS_MS);
			return callEntryProcess(number, "pricing-run");
		});
		long atMostOnceWrites = kvWrites() - callsBefore;
		addPercentiles("request directly to a worker, p50 and p99", direct);
		addPercentiles("idempotent request through an entry process, p50 and p99", idempotent);
		addPercentiles("at-most-once request through an entry process, p50 and p99", atMostOnce);
		this.measurements.add(Measurement.withoutTarget("latency added by the entry process at p50",
				String.format(Locale.ROOT, "%.2f ms",
						(idempotent.getValueAtPercentile(50) - direct.getValueAtPercentile(50)) / NANOS_PER_MS)));
		this.measurements.add(Measurement.withoutTarget(
				"key-value calls during " + REQUESTS + " idempotent requests (watches and polls)",
				Long.toString(idempotentCalls)));
		this.measurements.add(Measurement.atMost("key-value writes per at-most-once request", 1.05,
				(double) atMostOnceWrites / REQUESTS, "writes"));
	}

	private void measureCatalogueChange() {
		byte[] changedCatalogue = catalogueWithJobLimit(51);
		long start = System.nanoTime();
		JsonNode applied = this.deployment
			.call(0, EmbeddedDeployment.OPERATOR_TOKEN,
					HttpCall.of("PUT", "/v1/catalogue").query("base", "1").body(changedCatalogue))
			.json();
		long number = applied.path("number").asLong();
		for (int entry = 0; entry < this.deployment.addresses().size(); entry++) {
			while (this.deployment.call(entry, EmbeddedDeployment.OPERATOR_TOKEN, HttpCall.of("GET", "/v1/catalogue"))
				.json()
				.path("number")
				.asLong() < number) {
				Pause.millis(5);
			}
		}
		this.measurements.add(Measurement.atMost("time until a catalogue change is in force at all 4 entry processes",
				2_000, (System.nanoTime() - start) / NANOS_PER_MS, "ms"));
	}

	private void measureUrgentGang() {
		submit("chart", 4, 8, "bench-other");
		awaitRunning("chart");
		long start = System.nanoTime();
		submit("urgent", 2, 8, TOKEN);
		awaitRunning("urgent");
		this.measurements
			.add(Measurement.atMost("start of an urgent gang on 16 accelerators, all reclaimed by checkpoint", 2_600,
					(System.nanoTime() - start) / NANOS_PER_MS, "ms"));
	}

	private void submit(String kind, int members, int accelerators, String token) {
		var body = Json.object().put("kind", kind).put("runMs", 2_000_000);
		body.set("shape",
				Json.object().put("members", members).put("accelerators", accelerators).put("spread", "domain"));
		this.lastJobId = this.deployment.call(0, token, HttpCall.of("POST", "/v1/jobs").body(Json.bytes(body)))
			.json()
			.path("id")
			.asText("none");
	}

	private void awaitRunning(String kind) {
		JsonNode status = Json.object();
		for (int waitedMs = 0; waitedMs < 10_000; waitedMs += 5) {
			status = this.deployment
				.call(0, EmbeddedDeployment.OPERATOR_TOKEN, HttpCall.of("GET", "/v1/jobs/" + this.lastJobId))
				.json();
			if (status.path("phase").asText().equals("running")) {
				return;
			}
			Pause.millis(5);
		}
		this.measurements.add(new Measurement("job of kind " + kind, "running",
				"not running within 10 s, state " + status.path("state").asText() + status.path("title").asText(),
				"MISSED"));
	}

	private void measureIdleKvCalls() {
		JsonNode before = kvCounts();
		Pause.millis(IDLE_PERIOD_MS);
		JsonNode after = kvCounts();
		StringBuilder rates = new StringBuilder();
		double seconds = IDLE_PERIOD_MS / 1_000.0 * this.deployment.addresses().size();
		after.properties()
			.forEach((kind) -> rates.append(String.format(Locale.ROOT, ", %s %.2f", kind.getKey(),
					(kind.getValue().asLong() - before.path(kind.getKey()).asLong()) / seconds)));
		this.measurements.add(Measurement
			.withoutTarget("key-value calls of an idle entry process (with one running gang)", "per second" + rates));
	}

	private Exchange callWorkerDirectly(int number) {
		List<Address> workers = this.deployment.vms().stream().map((vm) -> vm.address()).toList();
		return this.client.exchange(workers.get(number % workers.size()),
				HttpCall.of("POST", "/service/chart-preview").header("Request-Id", "r" + number).body(new byte[64]),
				5_000, false);
	}

	private Exchange callEntryProcess(int number, String service) {
		List<Address> entries = this.deployment.addresses();
		HttpCall call = HttpCall.of("POST", "/v1/requests/" + service)
			.header("Authorization", "Bearer " + TOKEN)
			.header("Idempotency-Key", UUID.randomUUID().toString())
			.body(new byte[64]);
		return this.client.exchange(entries.get(number % entries.size()), call, 5_000, false);
	}

	/**
	 * Sends {@link #REQUESTS} requests from {@link #CALLERS} concurrent callers.
	 * @return the durations of all requests in nanoseconds, including failed ones
	 */
	private Histogram runLoad(IntFunction<Exchange> call) {
		Histogram histogram = new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(60), 3);
		AtomicInteger next = new AtomicInteger();
		AtomicInteger failed = new AtomicInteger();
		AtomicReference<String> lastFailure = new AtomicReference<>("");
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			List<Future<?>> running = new ArrayList<>();
			for (int caller = 0; caller < CALLERS; caller++) {
				running.add(callers.submit(() -> {
					for (int number = next.getAndIncrement(); number < REQUESTS; number = next.getAndIncrement()) {
						long start = System.nanoTime();
						Exchange exchange = call.apply(number);
						histogram.recordValue(System.nanoTime() - start);
						if (!(exchange instanceof Exchange.Answered answered && answered.reply().status() == 200)) {
							failed.incrementAndGet();
							lastFailure.set(describe(exchange));
						}
					}
				}));
			}
		}
		if (failed.get() > 0) {
			this.measurements.add(new Measurement("requests not answered with status 200", "0",
					failed.get() + ", the last one: " + lastFailure.get(), "MISSED"));
		}
		return histogram;
	}

	private static String describe(Exchange exchange) {
		return switch (exchange) {
			case Exchange.Answered answered ->
				answered.reply().status() + " " + answered.reply().json().path("title").asText();
			case Exchange.NotSent notSent -> notSent.reason();
			case Exchange.Broken broken -> broken.reason();
		};
	}

	private void addPercentiles(String name, Histogram histogram) {
		this.measurements.add(Measurement.withoutTarget(name, String.format(Locale.ROOT, "%.2f ms and %.2f ms",
				histogram.getValueAtPercentile(50) / NANOS_PER_MS, histogram.getValueAtPercentile(99) / NANOS_PER_MS)));
	}

	private long kvCalls() {
		return countKvCalls(false);
	}

	private long kvWrites() {
		return countKvCalls(true);
	}

	private long countKvCalls(boolean writesOnly) {
		long sum = 0;
		for (var kind : kvCounts().properties()) {
			sum += (!writesOnly || kind.getKey().equals("write")) ? kind.getValue().asLong() : 0;
		}
		return sum;
	}

	private JsonNode kvCounts() {
		Exchange exchange = this.client.exchange(this.deployment.kvAddress(), HttpCall.of("GET", "/control/calls"),
				5_000, false);
		return ((Exchange.Answered) exchange).reply().json();
	}

	private static byte[] catalogueWithJobLimit(int jobLimit) {
		String team = """
				{"name":"%s","owner":"office","class":"%s",
				"limits":{"requestsInProgress":1000,"jobs":%d,"accelerators":64},
				"tokenDigests":["%s"],"guarantees":[%s]}""";
		String guarantee = """
				{"failureDomain":"%s","shape":{"members":2,"accelerators":8,"spread":"domain"}}""";
		String guarantees = guarantee.formatted("east") + "," + guarantee.formatted("west");
		return """
				{"deployment":"bench","weights":{"completionTime":0.5,"fragmentation":0.5},
				"classes":[
				{"name":"urgent","owner":"office","priority":0,"urgent":true,"limits":{"queueWaitMs":500}},
				{"name":"bulk","owner":"office","priority":2,"limits":{"queueWaitMs":500}}],
				"teams":[%s,%s],
				"services":[
				{"name":"pricing-run","owner":"office","class":"urgent","idempotent":false,
				"limits":{"bodyBytes":10000,"answerBytes":10000,"deadlineMs":5000}},
				{"name":"chart-preview","owner":"office","class":"urgent","idempotent":true,
				"limits":{"bodyBytes":10000,"answerBytes":10000,"deadlineMs":5000}}],
				"jobKinds":[
				{"name":"urgent","owner":"office","class":"urgent","idempotent":true,"reclaim":"checkpoint",
				"limits":{"members":64,"runMs":10000000}},
				{"name":"chart","owner":"office","class":"bulk","idempotent":true,"reclaim":"checkpoint",
				"limits":{"members":64,"runMs":10000000}}]}
				"""
			.formatted(team.formatted("bench", "urgent", jobLimit, CatalogueVersion.sha256(TOKEN), guarantees),
					team.formatted("other", "bulk", jobLimit, CatalogueVersion.sha256("bench-other"), ""))
			.getBytes(StandardCharsets.UTF_8);
	}

}
