package org.citronrelay.review3;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;
import org.citronrelay.review3.Server.Answer;
import org.citronrelay.review3.Server.Call;

/** Stand-in for a worker that starts whatever it is told to start ("constraints" false). */
final class Worker implements AutoCloseable {

	static final long HEARTBEAT_MS = 1_500;

	static final long LONGEST_LEASE_MS = 10_000;

	final String id;

	private final Store store;

	private final Record record;

	/** How long a task works, in milliseconds, by the name of the task. */
	private final ToLongFunction<String> workMs;

	/** Whether each start and end gets a line in the record. */
	boolean recordsRuns = true;

	long cpu = 128_000;

	long memMb = 524_288;

	long gpu = 8;

	List<String> labels = List.of("a", "r1-1");

	/** How long after its start an instance writes its first entry, in milliseconds. */
	long firstEntryAfterMs;

	/** Whether a checkpoint is reported for each run. */
	boolean saves;

	final List<Run> runs = new ArrayList<>();

	private final int port;

	private Server server;

	private long born;

	private long bootedAt;

	private long nextEntryAt;

	private long lastEntryAt;

	private boolean registered;

	private long sequence;

	private long token;

	private long leaseUntil;

	private long ends;

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final TreeMap<Long, Run> ended = new TreeMap<>();

	private final Map<String, Long> highest = new HashMap<>();

	Worker(String id, Store store, Record record, ToLongFunction<String> workMs) {
		this.id = id;
		this.store = store;
		this.record = record;
		this.workMs = workMs;
		this.port = Stage.freePort();
	}

	/** Starts an instance that holds and knows nothing of before. */
	synchronized void boot() {
		this.born = System.currentTimeMillis();
		this.bootedAt = System.nanoTime();
		this.token = 0;
		this.leaseUntil = 0;
		this.ends = 0;
		this.sequence = 0;
		this.running.clear();
		this.ended.clear();
		this.highest.clear();
		this.server = new Server(this.port, this::handle);
		this.nextEntryAt = System.nanoTime() + this.firstEntryAfterMs * 1_000_000;
		this.record.add(this.id, "boots, born " + this.born + ", labels " + this.labels + ", cpu " + this.cpu);
		tick();
	}

	/** Ends the instance at once; connections are refused until it boots again. */
	synchronized void crash() {
		this.record.add(this.id, "crashes with " + this.running.size() + " runs");
		this.server.close();
		this.server = null;
		this.running.values().forEach((run) -> run.end = "lost");
		notifyAll();
	}

	/** Ends due runs, and writes the entry of this worker when it is due. */
	synchronized void tick() {
		long now = System.nanoTime();
		if (this.server == null) {
			if (this.registered && now - this.lastEntryAt > 3 * HEARTBEAT_MS * 1_000_000) {
				this.registered = false;
				this.store.delete("servers/" + this.id);
			}
			return;
		}
		if (now >= this.nextEntryAt) {
			writeEntry(now);
		}
		boolean lapsed = clockMs() > this.leaseUntil;
		for (Run run : List.copyOf(this.running.values())) {
			if (run.stopAt > 0 && now >= run.stopAt) {
				end(run, "stopped");
			}
			else if (now - run.startedAt >= run.workMs * 1_000_000) {
				end(run, "done");
			}
			else if (lapsed) {
				end(run, "lapsed");
			}
		}
	}

	private void writeEntry(long now) {
		boolean first = this.sequence == 0;
		this.nextEntryAt = now + HEARTBEAT_MS * 1_000_000;
		this.lastEntryAt = now;
		this.registered = true;
		ObjectNode entry = Json.object()
			.put("service", Stage.SERVICE)
			.put("address", "127.0.0.1:" + this.port)
			.put("zone", "zone-1")
			.put("version", "v1")
			.put("slots", 8)
			.put("state", "ready")
			.put("coldLeftMs", 0)
			.put("clockMs", clockMs())
			.put("born", this.born)
			.put("sequence", ++this.sequence);
		entry.putObject("capacity").put("cpu", this.cpu).put("memMb", this.memMb).put("gpu", this.gpu);
		ArrayNode names = entry.putArray("labels");
		this.labels.forEach(names::add);
		this.store.put("servers/" + this.id, entry);
		if (first) {
			this.record.add(this.id, "writes its entry, born " + this.born + ", labels " + this.labels);
		}
	}

	@Override
	public synchronized void close() {
		if (this.server != null) {
			this.server.close();
			this.server = null;
		}
	}

	private long clockMs() {
		return 1_000 + (System.nanoTime() - this.bootedAt) / 1_000_000;
	}

	private ObjectNode body() {
		return Json.object().put("clockMs", clockMs()).put("born", this.born);
	}

	private synchronized Answer handle(Call call) throws InterruptedException {
		tick();
		if (this.server == null) {
			return null;
		}
		if (call.expectedInstance() != null && !call.expectedInstance().equals(this.id)) {
			return new Answer(421, Json.object());
		}
		long sent = call.body().path("fencingToken").asLong();
		if (sent < this.token) {
			return new Answer(409, body().put("reason", "fence"));
		}
		this.token = sent;
		return switch (call.path()) {
			case "/citronrelay/run-start" -> start(call.body());
			case "/citronrelay/run-stop" -> stop(call.body());
			case "/citronrelay/hold" -> hold(call.body());
			default -> new Answer(404, Json.object());
		};
	}

	private void extendLease(JsonNode body) {
		this.leaseUntil = Math.max(this.leaseUntil,
				Math.min(body.path("deadlineMs").asLong(), clockMs() + LONGEST_LEASE_MS));
	}

	private Answer start(JsonNode body) {
		String task = body.path("task").asText();
		long run = body.path("runId").asLong();
		if (body.path("deadlineMs").asLong() < clockMs()) {
			return new Answer(409, body().put("reason", "late"));
		}
		extendLease(body);
		if (this.running.containsKey(task + "#" + run)) {
			return new Answer(200, body());
		}
		if (run <= this.highest.getOrDefault(task, 0L)) {
			return new Answer(409, body().put("reason", "old"));
		}
		Run begun = new Run(task, run, this.id, this.born, this.labels, System.nanoTime(),
				this.workMs.applyAsLong(task));
		this.running.put(task + "#" + run, begun);
		this.runs.add(begun);
		if (this.recordsRuns) {
			this.record.add(this.id, "starts " + task + " run " + run + ", fencing token " + this.token + ", born "
					+ this.born + ", labels " + this.labels);
		}
		return new Answer(200, body());
	}

	private Answer stop(JsonNode body) {
		String task = body.path("task").asText();
		long run = body.path("runId").asLong();
		Run found = this.running.get(task + "#" + run);
		if (found != null && found.stopAt == 0) {
			found.stopAt = System.nanoTime() + 50_000_000;
		}
		this.highest.merge(task, run, Math::max);
		return new Answer(200, body());
	}

	private Answer hold(JsonNode body) throws InterruptedException {
		extendLease(body);
		this.ended.headMap(body.path("lastSeen").asLong(), true).clear();
		long until = System.nanoTime() + body.path("waitMs").asLong() * 1_000_000;
		long asked = this.born;
		while (this.ended.isEmpty() && this.server != null && System.nanoTime() < until) {
			wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
		}
		if (this.server == null || asked != this.born) {
			return null;
		}
		ObjectNode answer = body();
		ArrayNode rows = answer.putArray("running");
		this.running.values()
			.forEach((run) -> rows.addArray()
				.add(run.task)
				.add(run.number)
				.add(checkpoint(run))
				.add(Math.min(99, (System.nanoTime() - run.startedAt) / 10_000 / Math.max(1, run.workMs))));
		ArrayNode ends = answer.putArray("finished");
		this.ended.entrySet()
			.stream()
			.limit(500)
			.forEach((end) -> ends.addArray()
				.add(end.getKey())
				.add(end.getValue().task)
				.add(end.getValue().number)
				.add(end.getValue().end)
				.add(checkpoint(end.getValue())));
		return new Answer(200, answer);
	}

	private String checkpoint(Run run) {
		return this.saves ? String.format("%016x", run.task.hashCode() & 0xffffffffL) : "";
	}

	private void end(Run run, String how) {
		run.end = how;
		run.endedAt = System.nanoTime();
		this.running.remove(run.task + "#" + run.number);
		this.highest.merge(run.task, run.number, Math::max);
		this.ended.put(++this.ends, run);
		if (this.recordsRuns) {
			this.record.add(this.id, "ends " + run.task + " run " + run.number + ": " + how);
		}
		notifyAll();
	}

	synchronized List<Run> runs() {
		return List.copyOf(this.runs);
	}

	synchronized int inUse() {
		return this.running.size();
	}

	/** One run of a task. */
	static final class Run {

		final String task;

		final long number;

		final String worker;

		final long born;

		final List<String> labels;

		final long startedAt;

		final long workMs;

		long stopAt;

		long endedAt;

		String end = "";

		Run(String task, long number, String worker, long born, List<String> labels, long startedAt, long workMs) {
			this.task = task;
			this.number = number;
			this.worker = worker;
			this.born = born;
			this.labels = labels;
			this.startedAt = startedAt;
			this.workMs = workMs;
		}

	}

}
