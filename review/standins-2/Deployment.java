package org.citronrelay.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.time.Pause;

/**
 * A small deployment: three entry processes, a store, workers and the operator's config
 * with three queues (priorities 0 to 2).
 */
final class Deployment implements AutoCloseable {

	static final String SERVICE = "swapplan";

	private static final int ENTRIES = 3;

	private static final long READY_LIMIT_MS = 20_000;

	private static final int MAX_ATTEMPTS = 4;

	final Record record;

	final StandInStore store;

	final StoreProxy storeProxy;

	final List<Entry> entries = new ArrayList<>();

	final List<Worker> workers = new ArrayList<>();

	final HttpClient client = new HttpClient(1 << 20);

	private final Path folder;

	private final EventLog storeLog;

	private volatile boolean closed;

	private int calls;

	Deployment(Record record, Path folder, Predicate<String> late, long lateMs) {
		this.record = record;
		this.folder = folder;
		this.storeLog = new EventLog(folder.resolve("store.txt"));
		this.store = new StandInStore(this.storeLog);
		this.storeProxy = new StoreProxy(this.store.port(), late, lateMs, record);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.entries.forEach(Entry::kill)));
		Thread.ofVirtual().start(this::tick);
	}

	void addWorkers(int count, int gpus, long backAfterMs) {
		for (int number = 1; number <= count; number++) {
			this.workers.add(new Worker("i-" + number, "zone-" + (number % ENTRIES + 1), "r1-" + (number % ENTRIES + 1),
					gpus, backAfterMs, this.store, this.record));
		}
	}

	/**
	 * Writes the config.
	 * @param guaranteed the accelerators that each tenant is guaranteed; the key of a
	 * tenant is its name with the word key behind it
	 */
	void writeConfig(Map<String, Integer> guaranteed) {
		ObjectNode config = Json.object().put("version", 3);
		ArrayNode routes = config.putArray("routes");
		for (int priority = 0; priority <= 2; priority++) {
			routes.addObject()
				.put("name", "queue-" + priority)
				.put("host", "127.0.0.1")
				.put("prefix", "/p" + priority + "/")
				.put("kind", "non_idempotent")
				.put("timeoutMs", 3_000)
				.put("sloMs", 1_000)
				.put("priority", priority)
				.put("service", SERVICE)
				.put("maxAttempts", MAX_ATTEMPTS)
				.put("slack", 3.0)
				.put("anonymous", false);
		}
		config.putArray("services")
			.addObject()
			.put("name", SERVICE)
			.put("healthPath", "/health")
			.put("maxConns", 64)
			.put("constraints", false)
			.put("standby", false);
		ArrayNode tenants = config.putArray("tenants");
		guaranteed.forEach((tenant, gpus) -> {
			ObjectNode node = tenants.addObject().put("name", tenant);
			node.putArray("apiKeys").add(tenant + "-key");
			node.putObject("guaranteed").put("gpu", gpus);
		});
		config.putObject("limits").put("maxBodyBytes", 262_144);
		this.store.put("op/config", config);
	}

	void start() throws IOException {
		for (int number = 1; number <= ENTRIES; number++) {
			this.entries.add(new Entry("front-" + number, this.folder));
		}
		List<Address> seeds = this.entries.stream().map((entry) -> entry.peers).toList();
		for (int number = 0; number < ENTRIES; number++) {
			this.entries.get(number).start("zone-" + (number + 1), this.storeProxy.address(), seeds);
		}
		long limit = this.record.nowMs() + READY_LIMIT_MS;
		for (Entry entry : this.entries) {
			while (!entry.isReady(this.client)) {
				if (this.record.nowMs() > limit || !entry.isAlive()) {
					throw new CannotRun("entry process " + entry.name + " did not become ready");
				}
				Pause.millis(100);
			}
		}
		this.record.add("all entry processes are ready");
	}

	/**
	 * Submits a job at the entry processes in turn, until one accepts it.
	 */
	void submit(String id, int priority, String tenant, ObjectNode body) {
		for (int attempt = 0; attempt < 20; attempt++) {
			Entry entry = this.entries.get(this.calls++ % ENTRIES);
			Optional<Entry.Reply> reply = entry.call(this.client, "POST", "/p" + priority + "/" + id, tenant + "-key",
					body);
			if (reply.isPresent() && reply.get().status() / 100 == 2) {
				this.record.add("POST " + id + " of " + tenant + " to queue-" + priority + " -> "
						+ reply.get().status());
				return;
			}
			this.record.add("POST " + id + " -> " + reply.map((got) -> got.status() + " " + got.body()).orElse("none"));
			Pause.millis(200);
		}
		throw new CannotRun("job " + id + " was not accepted");
	}

	/**
	 * Returns the state of a job as an entry process gives it, empty if it gives none.
	 */
	Optional<String> state(String id, int priority, String tenant) {
		Entry entry = this.entries.get(this.calls++ % ENTRIES);
		return entry.call(this.client, "GET", "/p" + priority + "/" + id, tenant + "-key", null)
			.filter((reply) -> reply.status() == 200)
			.map((reply) -> Json.parse(reply.body().getBytes()).getOrElse(Json.object()).path("state").asText());
	}

	/**
	 * Returns how many jobs wait, as one entry process tells, -1 without an answer.
	 */
	int pending(Entry entry, int priority, String tenant) {
		return entry.call(this.client, "GET", "/p" + priority + "/", tenant + "-key", null)
			.filter((reply) -> reply.status() == 200)
			.map((reply) -> Json.parse(reply.body().getBytes()).getOrElse(Json.object()).path("pending").asInt(-1))
			.orElse(-1);
	}

	@Override
	public void close() {
		this.closed = true;
		this.entries.forEach(Entry::kill);
		this.workers.forEach(Worker::close);
		this.storeProxy.close();
		this.store.close();
		this.client.close();
		this.storeLog.close();
		this.record.add("all processes have been ended");
	}

	private void tick() {
		while (!this.closed) {
			List.copyOf(this.workers).forEach(Worker::tick);
			this.store.expireLeases();
			Pause.millis(5);
		}
	}

	/**
	 * The case cannot run.
	 */
	static final class CannotRun extends RuntimeException {

		CannotRun(String message) {
			super(message);
		}

	}

}
