package org.citronrelay.review3;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;

/** A small deployment: entry processes as the deploy file starts them, and stand-ins. */
final class Stage implements AutoCloseable {

	static final String SERVICE = "service-a";

	private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

	static final String KEY = "key-of-tenant-a";

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Record record;

	final Store store;

	final List<Worker> workers = new CopyOnWriteArrayList<>();

	final List<Entry> entries = new ArrayList<>();

	private final Path folder;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	/** The rate of each entry process's link to the store in Mbit/s, 0 for no limit. */
	double linkMbps;

	private long version = 5;

	private volatile boolean closed;

	/**
	 * Creates a stage.
	 * @param record the file of the record
	 * @param folder a temporary folder for settings and logs
	 */
	Stage(Path record, Path folder) {
		this.record = new Record(record);
		this.folder = folder;
		this.store = new Store(this.record);
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
		Thread.ofPlatform().daemon().start(() -> {
			while (!this.closed) {
				this.store.expireLeases();
				this.workers.forEach(Worker::tick);
				pause(10);
			}
		});
	}

	/**
	 * Returns a free port below those that systems give to outgoing connections, so that
	 * none of these takes it before the process that is to listen there has started.
	 */
	static int freePort() {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				if (USED_PORTS.add(port)) {
					return socket.getLocalPort();
				}
			}
			catch (IOException ex) {
				// The port is in use.
			}
		}
	}

	static void pause(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	Worker worker(String id, ToLongFunction<String> workMs) {
		return new Worker(id, this.store, this.record, workMs);
	}

	void add(Worker worker) {
		worker.boot();
		this.workers.add(worker);
	}

	/** Writes a new version of the config as the operator does. */
	void publish(Queue... queues) {
		this.version += 2;
		ObjectNode config = Json.object().put("version", this.version);
		ArrayNode routes = config.putArray("routes");
		for (Queue queue : queues) {
			routes.addObject()
				.put("name", queue.name())
				.put("host", "127.0.0.1")
				.put("prefix", "/" + queue.name() + "/")
				.put("kind", "non_idempotent")
				.put("timeoutMs", 3_000)
				.put("sloMs", 3_000)
				.put("priority", queue.priority())
				.put("service", SERVICE)
				.put("maxAttempts", 4)
				.put("slack", 3.0)
				.put("anonymous", false);
		}
		config.putArray("services")
			.addObject()
			.put("name", SERVICE)
			.put("healthPath", "/health")
			.put("maxConns", 64)
			.put("protocol", "h1")
			.put("tls", false)
			.put("constraints", false)
			.put("standby", false);
		config.putObject("limits")
			.put("headerBytes", 16_384)
			.put("maxBodyBytes", 262_144)
			.put("headerTimeoutMs", 3_000)
			.put("idleTimeoutMs", 15_000);
		ObjectNode tenant = config.putArray("tenants").addObject().put("name", "tenant-a").put("priority", 1);
		tenant.putArray("apiKeys").add(KEY);
		tenant.putObject("guaranteed").put("gpu", 0);
		this.store.put("op/config", config);
		this.record.add("operator", "config " + this.version + " with the routes " + List.of(queues));
	}

	/** Starts entry processes and waits until all are ready. */
	void start(int count) {
		List<Integer> peers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			this.entries.add(new Entry("front-" + (i + 1)));
			peers.add(this.entries.get(i).peerPort);
		}
		List<String> seeds = peers.stream().limit(3).map((port) -> "\"127.0.0.1:" + port + "\"").toList();
		this.entries.forEach((entry) -> entry.configure(seeds));
		this.entries.forEach(Entry::start);
		long until = System.nanoTime() + 40_000_000_000L;
		for (Entry entry : this.entries) {
			while (get("http://127.0.0.1:" + entry.readyPort + "/citronrelay/ready", 1_000).status() != 200) {
				if (System.nanoTime() > until) {
					throw new IllegalStateException(entry.name + " does not become ready");
				}
				pause(50);
			}
		}
		this.record.add("stage", "all entry processes are ready");
	}

	/** Returns the entry process that is the coordinator by the store, null if none is. */
	Entry coordinator() {
		String holder = this.store.text("cr/coordinator");
		return this.entries.stream().filter((entry) -> holder.contains(entry.name + "/")).findFirst().orElse(null);
	}

	/** Sends a call of a client to an entry process. */
	Reply call(Entry entry, String method, String path, String body, long timeoutMs) {
		HttpRequest.Builder request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + entry.callerPort + path))
			.timeout(Duration.ofMillis(timeoutMs))
			.header("Authorization", "Token " + KEY)
			.header("X-Deadline-Ms", Long.toString(timeoutMs))
			.method(method, (body != null) ? HttpRequest.BodyPublishers.ofString(body)
					: HttpRequest.BodyPublishers.noBody());
		if (body != null) {
			request.header("Content-Type", "application/json");
		}
		return send(request.build());
	}

	private Reply get(String uri, long timeoutMs) {
		return send(HttpRequest.newBuilder(URI.create(uri)).timeout(Duration.ofMillis(timeoutMs)).build());
	}

	private Reply send(HttpRequest request) {
		try {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			return new Reply(response.statusCode(), response.body());
		}
		catch (IOException ex) {
			return new Reply(0, ex.toString());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Reply(0, ex.toString());
		}
	}

	@Override
	public void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.entries.forEach((entry) -> entry.signal("KILL"));
		this.workers.forEach(Worker::close);
		this.store.close();
	}

	/** The answer to a client; status 0 if there was none. */
	record Reply(int status, String body) {
	}

	/** A queue of the config. */
	record Queue(String name, int priority) {
	}

	/** An entry process. */
	final class Entry {

		private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-zA-Z_.0-9]+)(\\|json)?}}");

		final String name;

		final int callerPort = freePort();

		final int readyPort = freePort();

		final int peerPort = freePort();

		final int metricsPort = freePort();

		Process process;

		Link link;

		Entry(String name) {
			this.name = name;
		}

		private void configure(List<String> seeds) {
			Map<String, String> values = new HashMap<>();
			values.put("nodeName", '"' + this.name + '"');
			values.put("zone", "\"zone-1\"");
			values.put("listen.front", "\"127.0.0.1:" + this.callerPort + '"');
			values.put("listen.ready", "\"127.0.0.1:" + this.readyPort + '"');
			values.put("listen.control", "\"127.0.0.1:" + this.peerPort + '"');
			values.put("ip", "127.0.0.1");
			values.put("portRange.0", Integer.toString(this.metricsPort));
			values.put("platform.address", "\"127.0.0.1:" + storePort() + '"');
			values.put("seeds", seeds.toString());
			values.put("limits.cores", "1");
			values.put("limits.cpuShare", "0.75");
			values.put("bounds.holdMaxMs", "10000");
			values.put("bounds.gangTimeoutMs", "3000");
			values.put("bounds.killGraceMs", "200");
			values.put("bounds.graceS", "6");
			values.put("bounds.status_s", "120");
			try {
				Matcher placeholders = PLACEHOLDER.matcher(Files.readString(Path.of("deploy/settings.json")));
				Files.writeString(settings(),
						placeholders.replaceAll((found) -> Matcher.quoteReplacement(values.get(found.group(1)))));
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		private int storePort() {
			if (Stage.this.linkMbps == 0) {
				return Stage.this.store.port();
			}
			this.link = new Link(Stage.this.store.port(), Stage.this.linkMbps);
			return this.link.port();
		}

		private Path settings() {
			return Stage.this.folder.resolve(this.name + ".json");
		}

		Path log() {
			return Stage.this.folder.resolve(this.name + ".log");
		}

		/** Starts the process with the line of the deploy file. */
		void start() {
			try {
				Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$")
					.matcher(Files.readString(Path.of("deploy/system.toml")));
				line.find();
				ProcessBuilder builder = new ProcessBuilder(line.group(1).split(" "));
				builder.environment().put("CITRONRELAY_NODE_FILE", settings().toString());
				builder.redirectErrorStream(true);
				builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
				this.process = builder.start();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
			Stage.this.record.add(this.name, "starts");
		}

		/** Sends a signal to the process, unless it has ended. */
		void signal(String signal) {
			if (this.process == null || !this.process.isAlive()) {
				return;
			}
			try {
				new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
				if (signal.equals("KILL")) {
					this.process.waitFor(5, TimeUnit.SECONDS);
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			if (!Stage.this.closed) {
				Stage.this.record.add(this.name, "gets SIG" + signal);
			}
		}

		/** Returns the lines of the log that have a word. */
		List<String> logLines(String word) {
			try {
				return Files.readAllLines(log()).stream().filter((line) -> line.contains(word)).toList();
			}
			catch (IOException ex) {
				return List.of();
			}
		}

	}

}
