package org.citronrelay.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.citronrelay.internal.demo.FreeAddresses;
import org.citronrelay.internal.json.Json;

/**
 * A sound worker that starts whatever it is told to. The spec of a job is a JSON document
 * that says how long a work item works ({@code workMs}, 0 for one that lasts) and after
 * which time it crashes its worker ({@code crashMs}, 0 for never, less than 0 for before
 * the answer to its start). A crash closes all
 * connections and the port. The machine is back after some seconds as a new worker at the
 * same address, and the entry of the earlier one is removed after three heartbeats of
 * silence.
 */
final class Worker {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int ENDS_PER_ANSWER = 500;

	static {
		System.setProperty("sun.net.httpserver.nodelay", "true");
	}

	private final String machine;

	private String id;

	private int lives;

	final int port;

	private final String zone;

	private final String rack;

	private final int gpus;

	private final StandInStore store;

	private final Record record;

	private final long backAfterMs;

	private HttpServer server;

	private ExecutorService threads;

	private boolean up;

	private long born;

	private long bornNanos;

	private long token;

	private long leaseUntilMs;

	private long ends;

	private long sequence;

	private long nextBeat;

	private long bootAt;

	/** The entries of earlier lives, with the time at which the platform removes them. */
	private final Map<String, Long> silentEntries = new HashMap<>();

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final TreeMap<Long, Object[]> ended = new TreeMap<>();

	private final Map<String, Long> highestEnded = new HashMap<>();

	Worker(String machine, String zone, String rack, int gpus, long backAfterMs, StandInStore store, Record record) {
		this.machine = machine;
		this.zone = zone;
		this.rack = rack;
		this.gpus = gpus;
		this.backAfterMs = backAfterMs;
		this.store = store;
		this.record = record;
		this.port = FreeAddresses.next().port();
		boot();
	}

	private synchronized void boot() {
		this.lives++;
		this.id = this.machine + "-" + this.lives;
		this.born = System.currentTimeMillis();
		this.bornNanos = System.nanoTime();
		this.token = 0;
		this.leaseUntilMs = 0;
		this.ends = 0;
		this.sequence = 0;
		this.running.clear();
		this.ended.clear();
		this.highestEnded.clear();
		this.threads = Executors.newVirtualThreadPerTaskExecutor();
		try {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.port), 1_024);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.setExecutor(this.threads);
		this.server.createContext("/", this::handle);
		this.server.start();
		this.up = true;
		beat();
		this.record.add(this.id + " boots, born " + this.born);
	}

	/**
	 * Lets due ends, crashes, boots and heartbeats happen.
	 */
	synchronized void tick() {
		long now = System.nanoTime();
		List.copyOf(this.silentEntries.entrySet()).stream().filter((entry) -> now >= entry.getValue()).forEach((entry) -> {
			this.silentEntries.remove(entry.getKey());
			this.store.delete("servers/" + entry.getKey());
		});
		if (!this.up) {
			if (now >= this.bootAt) {
				boot();
			}
			return;
		}
		advance();
		if (this.up && now >= this.nextBeat) {
			beat();
		}
	}

	synchronized void close() {
		this.up = false;
		this.bootAt = Long.MAX_VALUE;
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	private void beat() {
		this.nextBeat = System.nanoTime() + Bounds.HEARTBEAT_MS * NANOS_PER_MILLI;
		ObjectNode entry = Json.object()
			.put("service", Deployment.SERVICE)
			.put("address", "127.0.0.1:" + this.port)
			.put("zone", this.zone)
			.put("version", "v1")
			.put("slots", 8)
			.put("state", "ready")
			.put("coldLeftMs", 0)
			.put("clockMs", clockMs())
			.put("born", this.born)
			.put("sequence", ++this.sequence);
		entry.putObject("capacity").put("cpu", 128_000).put("memMb", 524_288).put("gpu", this.gpus);
		entry.putArray("labels").add("a").add(this.rack);
		this.store.put("servers/" + this.id, entry);
	}

	private long clockMs() {
		return 1_000 + (System.nanoTime() - this.bornNanos) / NANOS_PER_MILLI;
	}

	private synchronized void advance() {
		if (!this.up) {
			return;
		}
		long clock = clockMs();
		for (Run run : List.copyOf(this.running.values())) {
			if (run.crashAt <= clock) {
				crash(run);
				return;
			}
			if (run.stopAt <= clock) {
				end(run, "stopped");
			}
			else if (run.endAt <= clock) {
				end(run, "done");
			}
			else if (this.leaseUntilMs <= clock) {
				end(run, "lapsed");
			}
		}
	}

	private void crash(Run cause) {
		this.record.add(this.id + " crashes under " + cause.task + " run " + cause.run + ", which had worked for "
				+ (clockMs() - cause.startedAt) + " ms; lost with it: "
				+ this.running.values().stream().filter((run) -> run != cause).map((run) -> run.task).toList());
		this.record.crashed(this.id, this.born, cause.task, this.running.keySet());
		this.up = false;
		this.silentEntries.put(this.id, this.nextBeat + 2 * Bounds.HEARTBEAT_MS * NANOS_PER_MILLI);
		this.bootAt = System.nanoTime() + this.backAfterMs * NANOS_PER_MILLI;
		HttpServer old = this.server;
		ExecutorService oldThreads = this.threads;
		Thread.ofVirtual().start(() -> {
			old.stop(0);
			oldThreads.shutdownNow();
		});
		notifyAll();
	}

	private void end(Run run, String how) {
		this.running.remove(run.task + "#" + run.run);
		this.highestEnded.merge(run.task, run.run, Math::max);
		this.ended.put(++this.ends, new Object[] { run.task, run.run, how });
		this.record.ended(this.id, run.task, run.run, how);
		notifyAll();
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			JsonNode body = Json.parse(exchange.getRequestBody().readAllBytes()).getOrElse(Json.object());
			String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
			ObjectNode answer = Json.object();
			int status = answer(exchange.getRequestURI().getPath(), expected, body, answer);
			if (status == 0) {
				return;
			}
			byte[] bytes = Json.bytes(answer);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(status, bytes.length);
			exchange.getResponseBody().write(bytes);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized int answer(String path, String expected, JsonNode body, ObjectNode answer)
			throws InterruptedException {
		advance();
		if (!this.up) {
			return 0;
		}
		long life = this.born;
		answer.put("clockMs", clockMs()).put("born", this.born);
		if (expected != null && !expected.equals(this.id)) {
			return 421;
		}
		if (path.equals("/health")) {
			return 200;
		}
		if (body.path("fencingToken").asLong() < this.token) {
			answer.put("reason", "fence");
			return 409;
		}
		this.token = body.path("fencingToken").asLong();
		int status = switch (path) {
			case "/citronrelay/run-start" -> start(body, answer);
			case "/citronrelay/run-stop" -> stop(body);
			case "/citronrelay/hold" -> hold(body, answer);
			default -> 404;
		};
		return (this.up && this.born == life) ? status : 0;
	}

	private int start(JsonNode body, ObjectNode answer) {
		String task = body.path("task").asText();
		long run = body.path("runId").asLong();
		if (body.path("deadlineMs").asLong() < clockMs()) {
			answer.put("reason", "late");
			return 409;
		}
		extendLease(body);
		if (this.running.containsKey(task + "#" + run)) {
			return 200;
		}
		if (run <= this.highestEnded.getOrDefault(task, 0L)) {
			answer.put("reason", "old");
			return 409;
		}
		JsonNode spec = Json.parse(body.path("spec").asText().getBytes()).getOrElse(Json.object());
		Run begun = new Run(task, run, clockMs());
		long work = spec.path("workMs").asLong();
		begun.workMs = work;
		begun.endAt = (work > 0) ? begun.startedAt + work : Long.MAX_VALUE;
		long crash = spec.path("crashMs").asLong();
		begun.crashAt = (crash > 0) ? begun.startedAt + crash : Long.MAX_VALUE;
		this.running.put(task + "#" + run, begun);
		this.record.started(this.id, this.born, task, run, body.path("fencingToken").asLong());
		if (crash < 0) {
			crash(begun);
		}
		return 200;
	}

	private int stop(JsonNode body) {
		String task = body.path("task").asText();
		long run = body.path("runId").asLong();
		Run found = this.running.get(task + "#" + run);
		if (found != null) {
			found.stopAt = Math.min(found.stopAt, clockMs() + Bounds.KILL_GRACE_MS / 2);
		}
		this.highestEnded.merge(task, run, Math::max);
		return 200;
	}

	private int hold(JsonNode body, ObjectNode answer) throws InterruptedException {
		extendLease(body);
		this.ended.headMap(body.path("lastSeen").asLong(), true).clear();
		long until = System.nanoTime() + body.path("waitMs").asLong() * NANOS_PER_MILLI;
		while (this.up && this.ended.isEmpty() && System.nanoTime() < until) {
			wait(Math.max(1, (until - System.nanoTime()) / NANOS_PER_MILLI));
		}
		answer.put("clockMs", clockMs());
		ArrayNode rows = answer.putArray("running");
		for (Run run : this.running.values()) {
			rows.addArray().add(run.task).add(run.run).add("").add(run.percent(clockMs()));
		}
		ArrayNode finished = answer.putArray("finished");
		List<Long> numbers = new ArrayList<>(this.ended.keySet());
		for (Long number : numbers.subList(0, Math.min(ENDS_PER_ANSWER, numbers.size()))) {
			Object[] end = this.ended.get(number);
			finished.addArray().add(number).add((String) end[0]).add((Long) end[1]).add((String) end[2]).add("");
		}
		return 200;
	}

	private void extendLease(JsonNode body) {
		this.leaseUntilMs = Math.max(this.leaseUntilMs,
				Math.min(body.path("deadlineMs").asLong(), clockMs() + Bounds.HOLD_MAX_MS));
	}

	private static final class Run {

		private final String task;

		private final long run;

		private final long startedAt;

		private long workMs;

		private long endAt;

		private long crashAt;

		private long stopAt = Long.MAX_VALUE;

		Run(String task, long run, long startedAt) {
			this.task = task;
			this.run = run;
			this.startedAt = startedAt;
		}

		private long percent(long clock) {
			return (this.workMs == 0) ? 100 : Math.min(99, 100 * (clock - this.startedAt) / this.workMs);
		}

	}

}
