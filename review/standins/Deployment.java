import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: entry processes started with the command of the deploy file, a store and workers. */
final class Deployment implements AutoCloseable {

	static final String HOST = "jobs.example";

	static final String KEY_A = "key-of-tenant-a";

	static final String SERVICE = "service-a";

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-zA-Z_.0-9]+)(\\|json)?}}");

	final Record record;

	final Store store;

	final List<Worker> workers = new ArrayList<>();

	final List<Entry> entries = new ArrayList<>();

	/** All runs that workers have begun. */
	final List<Worker.Run> runs = new CopyOnWriteArrayList<>();

	private final Path folder;

	private long configVersion = 3;

	Deployment(Record record) throws IOException {
		this.record = record;
		this.folder = Files.createTempDirectory("review");
		this.store = new Store(record);
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	/** Writes the config of the operator. */
	void config(List<Map<String, Object>> routes) {
		this.configVersion += 2;
		this.store.put("op/config",
				Json.of("version", this.configVersion, "routes", routes, "services",
						List.of(Json.of("name", SERVICE, "healthPath", "/health", "drainMs", 2_000, "constraints", false)),
						"tenants",
						List.of(Json.of("name", "tenant-a", "apiKeys", List.of(KEY_A), "guaranteed", Json.of("gpu", 8))),
						"limits", Json.of("maxBodyBytes", 1_048_576)));
		this.record.line("operator: config " + this.configVersion + " is acknowledged, routes "
				+ routes.stream().map((route) -> route.get("prefix")).toList());
	}

	static Map<String, Object> route(String name, String prefix, int priority) {
		return Json.of("name", name, "host", HOST, "prefix", prefix, "kind", "non_idempotent", "timeoutMs", 3_000,
				"sloMs", 1_000, "priority", priority, "service", SERVICE, "maxAttempts", 4, "slack", 3.0, "anonymous",
				false);
	}

	Worker worker(String id, long cpu) {
		return worker(id, cpu, 8);
	}

	Worker worker(String id, long cpu, long gpu) {
		Worker worker = new Worker(id, SERVICE, cpu, gpu, this.store, this.record, this.runs);
		this.workers.add(worker);
		return worker;
	}

	/** Starts entry processes and waits until all are ready. */
	void startEntries(int count) throws Exception {
		for (int tries = 1; !tryToStartEntries(count); tries++) {
			this.record.line("an entry process has ended at its start; another try with other ports");
			this.entries.forEach(Entry::kill);
			this.entries.clear();
			if (tries == 3) {
				throw new IllegalStateException("the entry processes do not start");
			}
		}
	}

	private boolean tryToStartEntries(int count) throws Exception {
		List<int[]> ports = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			ports.add(freePorts(4));
		}
		List<String> seeds = ports.stream().limit(3).map((row) -> "127.0.0.1:" + row[2]).toList();
		for (int i = 0; i < count; i++) {
			Entry entry = new Entry("front-" + (i + 1), ports.get(i), seeds);
			this.entries.add(entry);
			entry.start();
		}
		long until = Record.now() + 30_000;
		for (Entry entry : this.entries) {
			while (!entry.ready()) {
				if (!entry.alive()) {
					return false;
				}
				if (Record.now() > until) {
					throw new IllegalStateException(entry.name + " does not become ready");
				}
				Thread.sleep(50);
			}
		}
		this.record.line("all entry processes are ready");
		return true;
	}

	/** Returns the entry process that coordinates, as its record in the store says. */
	Entry coordinator() throws InterruptedException {
		for (int tries = 0; tries < 200; tries++) {
			String text = this.store.text("cr/coordinator");
			if (text != null) {
				for (Entry entry : this.entries) {
					if (text.contains(entry.name + "/")) {
						return entry;
					}
				}
			}
			Thread.sleep(50);
		}
		throw new IllegalStateException("no coordinator");
	}

	/** Returns the present run of a work item, null if it has none. */
	Worker.Run present(String task) {
		return this.runs.stream()
			.filter((run) -> run.task.equals(task) && run.endedAt == Long.MAX_VALUE)
			.findFirst()
			.orElse(null);
	}

	/** Returns the worker that a run was started on. */
	Worker workerOf(Worker.Run run) {
		return this.workers.stream().filter((worker) -> worker.id.equals(run.worker)).findFirst().orElseThrow();
	}

	/** Returns the pairs of runs of one work item that overlapped on workers that were up. */
	List<String> overlappingRuns() {
		List<String> found = new ArrayList<>();
		List<Worker.Run> all = List.copyOf(this.runs);
		for (int i = 0; i < all.size(); i++) {
			for (int j = i + 1; j < all.size(); j++) {
				Worker.Run a = all.get(i);
				Worker.Run b = all.get(j);
				if (a.task.equals(b.task) && a.startedAt < b.endedAt && b.startedAt < a.endedAt) {
					found.add(a + "  and  " + b);
				}
			}
		}
		return found;
	}

	/** Returns the runs that began after an earlier run of their work item had ended done and this was taken note of. */
	List<String> startsAfterNotedEnds() {
		List<String> found = new ArrayList<>();
		for (Worker.Run done : this.runs) {
			for (Worker.Run later : this.runs) {
				if (done.noted && done.how.equals("done") && done.task.equals(later.task)
						&& later.startedAt > done.endedAt) {
					found.add(later + "  after  " + done);
				}
			}
		}
		return found;
	}

	/** Returns how long a work item has had no run, in ms; 0 if it has one. */
	long idleMs(String task) {
		return (present(task) != null) ? 0
				: Record.now() - this.runs.stream()
					.filter((run) -> run.task.equals(task))
					.mapToLong((run) -> run.endedAt)
					.max()
					.orElse(0);
	}

	/** Returns the workers on which nothing runs. */
	List<String> emptyWorkers() {
		return this.workers.stream()
			.map((worker) -> worker.id)
			.filter((id) -> this.runs.stream().noneMatch((run) -> run.worker.equals(id) && run.endedAt == Long.MAX_VALUE))
			.toList();
	}

	@Override
	public void close() {
		this.entries.forEach(Entry::kill);
		try (var files = Files.walk(this.folder)) {
			if (System.getenv("KEEP_LOGS") == null) {
				files.sorted((a, b) -> b.compareTo(a)).forEach((file) -> file.toFile().delete());
			}
			else {
				System.out.println("logs in " + this.folder);
			}
		}
		catch (IOException ex) {
			// The folder is already gone.
		}
	}

	/** Returns free ports below those that the operating system gives to outgoing connections. */
	private static int[] freePorts(int count) {
		int[] ports = new int[count];
		for (int i = 0; i < count;) {
			int port = ThreadLocalRandom.current().nextInt(10_000, 30_000);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				ports[i++] = socket.getLocalPort();
			}
			catch (IOException ex) {
				// The port is in use; the next one is tried.
			}
		}
		return ports;
	}

	/** An entry process. */
	final class Entry {

		final String name;

		private final int[] ports;

		private final List<String> seeds;

		private Process process;

		/** The address of the store that the process is given. */
		String storeAddress;

		Entry(String name, int[] ports, List<String> seeds) {
			this.name = name;
			this.ports = ports;
			this.seeds = seeds;
			this.storeAddress = Deployment.this.store.address();
		}

		int port() {
			return this.ports[0];
		}

		void start() throws IOException {
			Path settings = Deployment.this.folder.resolve(this.name + ".json");
			Files.writeString(settings, render(Files.readString(Path.of("deploy/settings.json"))));
			String run = Files.readAllLines(Path.of("deploy/system.toml"))
				.stream()
				.filter((line) -> line.startsWith("run = "))
				.findFirst()
				.orElseThrow()
				.replaceFirst("run = \"(.*)\"", "$1");
			ProcessBuilder builder = new ProcessBuilder(run.split(" "));
			builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			builder.environment().put("CITRONRELAY_NODE_FILE", settings.toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(
					ProcessBuilder.Redirect.appendTo(Deployment.this.folder.resolve(this.name + ".log").toFile()));
			this.process = builder.start();
			Deployment.this.record.line(this.name + ": started as process " + this.process.pid());
		}

		boolean ready() {
			return Client.call(this.ports[1], "GET", "/citronrelay/ready", null, 1_000).status() == 200;
		}

		void kill() {
			if (this.process != null && this.process.isAlive()) {
				signal("CONT");
				this.process.destroyForcibly();
				try {
					this.process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				Deployment.this.record.line(this.name + ": killed");
			}
		}

		/** Sends a signal by name, and says so in the record. */
		void signal(String signal) {
			Deployment.this.record.line(this.name + ": SIG" + signal);
			try {
				new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		boolean alive() {
			return this.process.isAlive();
		}

		/** Sends a call of a requester and records it with its answer. */
		Client.Answer call(String method, String path, Object body, long timeoutMs) {
			Deployment.this.record.line("requester -> " + this.name + ": " + method + " " + path
					+ ((body != null) ? " " + Json.write(body) : ""));
			Client.Answer answer = Client.call(port(), method, path, body, timeoutMs);
			Deployment.this.record.line("requester <- " + this.name + ": " + method + " " + path + " -> " + answer);
			return answer;
		}

		/** Hands a job in, which has to be accepted. */
		void submit(String path, Object job) {
			if (!call("POST", path, job, 3_000).accepted()) {
				throw new IllegalStateException("the job at " + path + " was not accepted");
			}
		}

		private String render(String template) {
			Map<String, String> values = new java.util.HashMap<>();
			values.put("nodeName", '"' + this.name + '"');
			values.put("zone", "\"zone-a\"");
			values.put("listen.front", "\"127.0.0.1:" + this.ports[0] + '"');
			values.put("listen.ready", "\"127.0.0.1:" + this.ports[1] + '"');
			values.put("listen.control", "\"127.0.0.1:" + this.ports[2] + '"');
			values.put("ip", "127.0.0.1");
			values.put("portRange.0", Integer.toString(this.ports[3]));
			values.put("platform.address", '"' + this.storeAddress + '"');
			values.put("seeds", Json.write(this.seeds));
			values.put("limits.cores", "1");
			values.put("limits.cpuShare", "0.75");
			values.put("bounds.holdMaxMs", Long.toString(Worker.HOLD_MAX_MS));
			values.put("bounds.gangTimeoutMs", "3000");
			values.put("bounds.killGraceMs", Long.toString(Worker.KILL_GRACE_MS));
			values.put("heartbeatMs", Long.toString(Worker.HEARTBEAT_MS));
			values.put("bounds.graceS", "6");
			values.put("bounds.status_s", "120");
			Matcher matcher = PLACEHOLDER.matcher(template);
			StringBuilder out = new StringBuilder();
			while (matcher.find()) {
				String value = values.get(matcher.group(1));
				if (value == null) {
					throw new IllegalStateException("no value for " + matcher.group());
				}
				matcher.appendReplacement(out, Matcher.quoteReplacement(value));
			}
			return matcher.appendTail(out).toString();
		}

	}

	static Map<String, Object> job(long workMs, int count, int cpu) {
		return Json.of("spec", "ms=" + workMs, "phases",
				Arrays.asList(Json.of("count", count, "cpu", cpu, "memMb", 16, "estRuntimeMs", workMs)));
	}

}
