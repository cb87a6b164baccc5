package org.citronrelay.review3;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;
import org.citronrelay.review3.Server.Answer;
import org.citronrelay.review3.Server.Call;

/** Stand-in for the platform's store: linearizable, with revisions, watches and leases. */
final class Store implements AutoCloseable {

	static final int VALUE_BYTES = 1_048_576;

	/** The size of the history that is kept; the store may discard it early. */
	private static final long HISTORY_BYTES = 200_000_000;

	private static final String ROOT = "/citronrelay/";

	private final TreeMap<String, ObjectNode> items = new TreeMap<>();

	private final Deque<ObjectNode> history = new ArrayDeque<>();

	private final Map<Long, long[]> leases = new HashMap<>();

	private final Server server = new Server(0, this::handle);

	private final Record record;

	private long revision = 100;

	private volatile String lateKey;

	private volatile long lateMs;

	private long historyBytes;

	private long forgottenUpTo = 100;

	private long nextLease = 1;

	Store(Record record) {
		this.record = record;
	}

	int port() {
		return this.server.port();
	}

	@Override
	public void close() {
		this.server.close();
	}

	/** Writes as the operator or a worker does. */
	synchronized void put(String key, JsonNode value) {
		set(key, Base64.getEncoder().encodeToString(Json.bytes(value)), 0);
	}

	synchronized void delete(String key) {
		remove(key);
	}

	/** Returns the value of a key as text, empty if there is none. */
	synchronized String text(String key) {
		ObjectNode item = this.items.get(key);
		return (item != null) ? new String(Base64.getDecoder().decode(item.path("value").asText())) : "";
	}

	synchronized void expireLeases() {
		long now = System.nanoTime();
		List<Long> over = this.leases.entrySet()
			.stream()
			.filter((lease) -> lease.getValue()[0] - now < 0)
			.map(Map.Entry::getKey)
			.toList();
		over.forEach(this::end);
	}

	private void end(long lease) {
		this.leases.remove(lease);
		List<String> keys = this.items.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().path("lease").asLong() == lease)
			.map(Map.Entry::getKey)
			.toList();
		keys.forEach(this::remove);
	}

	private void set(String key, String value, long lease) {
		ObjectNode before = this.items.get(key);
		long created = (before != null) ? before.path("created").asLong() : this.revision + 1;
		ObjectNode item = Json.object()
			.put("key", key)
			.put("value", value)
			.put("revision", ++this.revision)
			.put("created", created)
			.put("lease", lease);
		this.items.put(key, item);
		remember(item);
	}

	private void remove(String key) {
		if (this.items.remove(key) != null) {
			remember(Json.object().put("key", key).put("revision", ++this.revision).put("deleted", true));
		}
	}

	private void remember(ObjectNode event) {
		this.history.addLast(event);
		this.historyBytes += event.path("value").asText().length();
		while (this.history.size() > 2_000 || this.historyBytes > HISTORY_BYTES) {
			ObjectNode oldest = this.history.removeFirst();
			this.historyBytes -= oldest.path("value").asText().length();
			this.forgottenUpTo = oldest.path("revision").asLong();
		}
		notifyAll();
	}

	/**
	 * Carries out the transactions on a key a time later and never answers them, until
	 * they are answered again.
	 */
	void carryOutLate(String key, long delayMs) {
		this.lateKey = key;
		this.lateMs = delayMs;
	}

	void answerAgain() {
		this.lateKey = null;
	}

	private boolean isLate(Call call) {
		String late = this.lateKey;
		if (late != null && call.path().endsWith("/kv-txn")) {
			for (JsonNode put : call.body().path("setKeys")) {
				if (put.path("key").asText().equals(late)) {
					return true;
				}
			}
		}
		return false;
	}

	private Answer handle(Call call) throws InterruptedException {
		if (isLate(call)) {
			this.record.add("store", "does not answer the write of " + this.lateKey + ", and carries it out in "
					+ this.lateMs + " ms");
			Thread.sleep(this.lateMs);
			Answer unseen = transact(call.body());
			this.record.add("store", "carries out an unanswered write: " + unseen.status());
			return null;
		}
		String name = call.path().substring(ROOT.length());
		return switch (name.replaceFirst("/.*", "")) {
			case "kv-key" -> read(call.query().get("key"));
			case "kv-range" -> range(call.query().get("prefix"), call.query().getOrDefault("after", ""));
			case "kv-watch" -> watch(call.query().get("prefix"), call.number("after"), call.number("waitMs"));
			case "kv-txn" -> transact(call.body());
			case "kv-lease" -> grant(call.body().path("ttlMs").asLong());
			case "kv-keep" -> keep(Long.parseLong(name.substring("kv-keep/".length())));
			case "kv-lease-end" -> endLease(Long.parseLong(name.substring("kv-lease-end/".length())));
			default -> new Answer(404, Json.object());
		};
	}

	private synchronized Answer read(String key) {
		ObjectNode item = this.items.get(key);
		return (item != null) ? new Answer(200, item.deepCopy().put("currentRev", this.revision))
				: new Answer(404, Json.object().put("currentRev", this.revision));
	}

	private synchronized Answer range(String prefix, String after) {
		ObjectNode body = Json.object();
		ArrayNode page = body.putArray("items");
		boolean more = false;
		int bytes = 0;
		for (Map.Entry<String, ObjectNode> item : this.items.tailMap(prefix).entrySet()) {
			if (!item.getKey().startsWith(prefix)) {
				break;
			}
			if (item.getKey().compareTo(after) <= 0) {
				continue;
			}
			if (page.size() == 500 || bytes > 1_000_000) {
				more = true;
				break;
			}
			bytes += item.getValue().path("value").asText().length();
			page.add(item.getValue());
		}
		return new Answer(200, body.put("hasMore", more).put("currentRev", this.revision));
	}

	private synchronized Answer watch(String prefix, long after, long waitMs) throws InterruptedException {
		long until = System.nanoTime() + waitMs * 1_000_000;
		while (true) {
			if (after < this.forgottenUpTo) {
				return new Answer(410, Json.object());
			}
			List<ObjectNode> events = new ArrayList<>();
			this.history.forEach((event) -> {
				if (event.path("revision").asLong() > after && event.path("key").asText().startsWith(prefix)) {
					events.add(event);
				}
			});
			long leftMs = (until - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || leftMs <= 0) {
				ObjectNode body = Json.object().put("currentRev", this.revision);
				body.putArray("events").addAll(events);
				return new Answer(200, body);
			}
			wait(leftMs);
		}
	}

	private synchronized Answer transact(JsonNode body) {
		JsonNode puts = body.path("setKeys");
		if (body.path("expectRev").size() + puts.size() + body.path("remove").size() > 32) {
			return new Answer(400, Json.object().put("reason", "entries"));
		}
		for (JsonNode put : puts) {
			int bytes = Base64.getDecoder().decode(put.path("value").asText()).length;
			if (bytes > VALUE_BYTES) {
				this.record.add("store", "refuses a transaction: the value of " + put.path("key").asText() + " has "
						+ bytes + " bytes, more than valueBytes = " + VALUE_BYTES);
				return new Answer(400, Json.object().put("reason", "valueBytes"));
			}
			long lease = put.path("lease").asLong();
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return new Answer(404, Json.object());
			}
		}
		ObjectNode conflict = Json.object();
		ArrayNode current = conflict.putArray("items");
		boolean holds = true;
		for (JsonNode expected : body.path("expectRev")) {
			ObjectNode item = this.items.get(expected.path("key").asText());
			holds &= expected.path("revision").asLong() == ((item != null) ? item.path("revision").asLong() : 0);
			if (item != null) {
				current.add(item);
			}
		}
		if (!holds) {
			return new Answer(412, conflict);
		}
		puts.forEach((put) -> {
			set(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong());
			if (put.path("key").asText().contains("coordinator")) {
				this.record.add("store", "new coordinator: " + text(put.path("key").asText()));
			}
		});
		body.path("remove").forEach((key) -> remove(key.asText()));
		return new Answer(200, Json.object().put("revision", this.revision));
	}

	private synchronized Answer grant(long ttlMs) {
		long ttl = Math.max(1_000, ttlMs);
		this.leases.put(this.nextLease, new long[] { System.nanoTime() + ttl * 1_000_000, ttl });
		return new Answer(200, Json.object().put("lease", this.nextLease++).put("ttlMs", ttl));
	}

	private synchronized Answer keep(long id) {
		expireLeases();
		long[] lease = this.leases.get(id);
		if (lease == null) {
			return new Answer(404, Json.object());
		}
		lease[0] = System.nanoTime() + lease[1] * 1_000_000;
		return new Answer(200, Json.object().put("ttlMs", lease[1]));
	}

	private synchronized Answer endLease(long id) {
		if (!this.leases.containsKey(id)) {
			return new Answer(404, Json.object());
		}
		end(id);
		return new Answer(200, Json.object());
	}

}
