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
 * The path of a request and what it costs, side by side with the same load sent straight
 * to the workers.
 */
final class PathBench {

	private static final String TOKEN = "bench-team";

	private static final int CALLERS = 8;

	private static final int REQUESTS = 4_000;

	private static final int IDLE_MS = 20_000;

	/** Keeps the once-only load below the writes a second that the service takes. */
	private static final int PACE_MS = 25;

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final List<Row> rows = new ArrayList<>();

	private final EmbeddedDeployment deployment;

	private final HttpClient client = new HttpClient(1024 * 1024);

	private String lastJob = "";

	private PathBench(EmbeddedDeployment deployment) {
		this.deployment = deployment;
	}

	static List<Row> run() {
		FleetPlan plan = new FleetPlan(
				List.of(new FleetPlan.DomainPlan("east", 4, 4, 2), new FleetPlan.DomainPlan("west", 4, 4, 2)),
				new FleetPlan.WorkerPlan(8, 128, 512, 8, 60));
		try (EmbeddedDeployment deployment = new EmbeddedDeployment(plan, 2, 0.01)) {
			deployment.applyFirstCatalogue(catalogue(50));
			PathBench bench = new PathBench(deployment);
			bench.requests();
			bench.spread();
			bench.urgent();
			bench.idle();
			bench.client.close();
			return bench.rows;
		}
	}

	private void requests() {
		load((number) -> straight(number));
		load((number) -> entry(number, "chart-preview"));
		Histogram straight = load((number) -> straight(number));
		long calls = kvCalls();
		Histogram idempotent = load((number) -> entry(number, "chart-preview"));
		long idempotentCalls = kvCalls() - calls;
		calls = kvWrites();
		Histogram once = load((number) -> {
			Pause.millis(PACE_MS);
			return entry(number, "pricing-run");
		});
		long onceWrites = kvWrites() - calls;
		add("straight to a worker, p50 and p99", straight);
		add("idempotent request through an entry process, p50 and p99", idempotent);
		add("once-only request through an entry process, p50 and p99", once);
		this.rows.add(Row.plain("added by the entry process at p50", String.format(Locale.ROOT, "%.2f ms",
				(idempotent.getValueAtPercentile(50) - straight.getValueAtPercentile(50)) / NANOS_PER_MS)));
		this.rows.add(Row.plain("key-value calls while " + REQUESTS + " idempotent requests ran (watches and polls)",
				Long.toString(idempotentCalls)));
		this.rows.add(
				Row.atMost("key-value writes for a once-only request", 1.05, (double) onceWrites / REQUESTS, "writes"));
	}

	private void spread() {
		byte[] changed = catalogue(51);
		long start = System.nanoTime();
		JsonNode applied = this.deployment
			.call(0, EmbeddedDeployment.OPERATOR_TOKEN,
					HttpCall.of("PUT", "/v1/catalogue").query("base", "1").body(changed))
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
		this.rows.add(Row.atMost("catalogue change in force at all 4 entry processes", 2_000,
				(System.nanoTime() - start) / NANOS_PER_MS, "ms"));
	}

	private void urgent() {
		submit("chart", 4, 8, "bench-other");
		awaitRunning("chart");
		long start = System.nanoTime();
		submit("urgent", 2, 8, TOKEN);
		awaitRunning("urgent");
		this.rows.add(Row.atMost("urgent gang of 16 accelerators, all of them reclaimed by checkpoint", 2_600,
				(System.nanoTime() - start) / NANOS_PER_MS, "ms"));
	}

	private void submit(String kind, int members, int accelerators, String token) {
		var body = Json.object().put("kind", kind).put("runMs", 2_000_000);
		body.set("shape",
				Json.object().put("members", members).put("accelerators", accelerators).put("spread", "domain"));
		this.lastJob = this.deployment.call(0, token, HttpCall.of("POST", "/v1/jobs").body(Json.bytes(body)))
			.json()
			.path("id")
			.asText("none");
	}

	private void awaitRunning(String kind) {
		JsonNode status = Json.object();
		for (int waited = 0; waited < 10_000; waited += 5) {
			status = this.deployment
				.call(0, EmbeddedDeployment.OPERATOR_TOKEN, HttpCall.of("GET", "/v1/jobs/" + this.lastJob))
				.json();
			if (status.path("phase").asText().equals("running")) {
				return;
			}
			Pause.millis(5);
		}
		this.rows.add(new Row("job of kind " + kind, "runs",
				"not within 10 s, state " + status.path("state").asText() + status.path("title").asText(), "MISSED"));
	}

	private void idle() {
		JsonNode before = kvCounts();
		Pause.millis(IDLE_MS);
		JsonNode after = kvCounts();
		StringBuilder kinds = new StringBuilder();
		double seconds = IDLE_MS / 1_000.0 * this.deployment.addresses().size();
		after.properties()
			.forEach((kind) -> kinds.append(String.format(Locale.ROOT, ", %s %.2f", kind.getKey(),
					(kind.getValue().asLong() - before.path(kind.getKey()).asLong()) / seconds)));
		this.rows
			.add(Row.plain("key-value calls of an idle entry process (with one running gang)", "a second" + kinds));
	}

	private Exchange straight(int number) {
		List<Address> workers = this.deployment.vms().stream().map((vm) -> vm.address()).toList();
		return this.client.exchange(workers.get(number % workers.size()),
				HttpCall.of("POST", "/service/chart-preview").header("Request-Id", "r" + number).body(new byte[64]),
				5_000, false);
	}

	private Exchange entry(int number, String service) {
		List<Address> entries = this.deployment.addresses();
		HttpCall call = HttpCall.of("POST", "/v1/requests/" + service)
			.header("Authorization", "Bearer " + TOKEN)
			.header("Idempotency-Key", UUID.randomUUID().toString())
			.body(new byte[64]);
		return this.client.exchange(entries.get(number % entries.size()), call, 5_000, false);
	}

	private Histogram load(IntFunction<Exchange> call) {
		Histogram histogram = new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(60), 3);
		AtomicInteger next = new AtomicInteger();
		AtomicInteger failed = new AtomicInteger();
		AtomicReference<String> lastBad = new AtomicReference<>("");
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
							lastBad.set(describe(exchange));
						}
					}
				}));
			}
		}
		if (failed.get() > 0) {
			this.rows.add(new Row("requests without a good answer", "0", failed.get() + ", the last: " + lastBad.get(),
					"MISSED"));
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

	private void add(String name, Histogram histogram) {
		this.rows.add(Row.plain(name, String.format(Locale.ROOT, "%.2f ms and %.2f ms",
				histogram.getValueAtPercentile(50) / NANOS_PER_MS, histogram.getValueAtPercentile(99) / NANOS_PER_MS)));
	}

	private long kvCalls() {
		return sum(false);
	}

	private long kvWrites() {
		return sum(true);
	}

	private long sum(boolean writesOnly) {
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

	private static byte[] catalogue(int jobs) {
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
			.formatted(team.formatted("bench", "urgent", jobs, CatalogueVersion.sha256(TOKEN), guarantees),
					team.formatted("other", "bulk", jobs, CatalogueVersion.sha256("bench-other"), ""))
			.getBytes(StandardCharsets.UTF_8);
	}

}
