import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as PROTOCOL.md describes it. It loses and delays nothing. */
final class Store {

	static final int VALUE_BYTES = 1_048_576;

	private static final int ENTRIES = 32;

	private static final int PAGE_ITEMS = 500;

	private static final int PAGE_BYTES = 1_000_000;

	private static final long TTL_MIN_MS = 1_000;

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<Event> history = new ArrayList<>();

	private final Map<Long, Lease> leases = new TreeMap<>();

	private final Server server;

	private final Record record;

	private long revision = 100;

	private long nextLease = 7_000;

	Store(Record record) {
		this.record = record;
		this.server = new Server(0, this::handle);
		Thread.ofVirtual().start(() -> {
			while (pause(10)) {
				expire();
			}
		});
	}

	String address() {
		return this.server.address();
	}

	/** Writes as the operator or a worker does. */
	synchronized void put(String key, Object value) {
		set(key, Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8)), 0);
		notifyAll();
	}

	synchronized void delete(String key) {
		remove(key);
		notifyAll();
	}

	/** Returns the value of a key as text, null if there is none. */
	synchronized String text(String key) {
		Item item = this.items.get(key);
		return (item != null) ? new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8) : null;
	}

	private synchronized void expire() {
		long now = System.nanoTime();
		List<Lease> ended = this.leases.values().stream().filter((lease) -> lease.endsAt - now < 0).toList();
		ended.forEach(this::end);
	}

	private void end(Lease lease) {
		this.leases.remove(lease.id);
		List<String> keys = this.items.values()
			.stream()
			.filter((item) -> item.lease == lease.id)
			.map((item) -> item.key)
			.toList();
		keys.forEach(this::remove);
		notifyAll();
	}

	private void set(String key, String value, long lease) {
		Item before = this.items.get(key);
		this.revision++;
		Item item = new Item(key, value, this.revision, (before != null) ? before.created : this.revision, lease);
		this.items.put(key, item);
		this.history.add(new Event(this.revision, key, item.json()));
	}

	private void remove(String key) {
		if (this.items.remove(key) != null) {
			this.revision++;
			this.history
				.add(new Event(this.revision, key, Json.of("key", key, "revision", this.revision, "deleted", true)));
		}
	}

	private Server.Reply handle(Server.Call call) throws InterruptedException {
		String path = call.path().substring("/citronrelay/".length());
		if (path.equals("kv-key")) {
			return read(call.query().get("key"));
		}
		if (path.equals("kv-range")) {
			return range(call.query().get("prefix"), call.query().getOrDefault("after", ""));
		}
		if (path.equals("kv-watch")) {
			return watch(call.query().get("prefix"), call.number("after", 0), call.number("waitMs", 0));
		}
		if (path.equals("kv-txn")) {
			return transact(Json.object(call.body()));
		}
		if (path.equals("kv-lease")) {
			return grant(((Number) Json.object(call.body()).get("ttlMs")).longValue());
		}
		if (path.startsWith("kv-keep/")) {
			return keep(Long.parseLong(path.substring("kv-keep/".length())));
		}
		if (path.startsWith("kv-lease-end/")) {
			return endLease(Long.parseLong(path.substring("kv-lease-end/".length())));
		}
		return new Server.Reply(404, Json.of());
	}

	private synchronized Server.Reply read(String key) {
		Item item = this.items.get(key);
		Map<String, Object> body = (item != null) ? item.json() : Json.of();
		body.put("currentRev", this.revision);
		return new Server.Reply((item != null) ? 200 : 404, body);
	}

	private synchronized Server.Reply range(String prefix, String after) {
		List<Object> page = new ArrayList<>();
		int bytes = 0;
		boolean more = false;
		for (Item item : this.items.tailMap(prefix).values()) {
			if (!item.key.startsWith(prefix)) {
				break;
			}
			if (item.key.compareTo(after) <= 0) {
				continue;
			}
			if (page.size() == PAGE_ITEMS || (bytes > PAGE_BYTES)) {
				more = true;
				break;
			}
			bytes += item.value.length();
			page.add(item.json());
		}
		return new Server.Reply(200, Json.of("items", page, "hasMore", more, "currentRev", this.revision));
	}

	private synchronized Server.Reply watch(String prefix, long after, long waitMs) throws InterruptedException {
		long until = System.nanoTime() + waitMs * 1_000_000;
		while (true) {
			List<Object> events = new ArrayList<>();
			for (int i = this.history.size() - 1; i >= 0 && this.history.get(i).revision > after; i--) {
				if (this.history.get(i).key.startsWith(prefix)) {
					events.addFirst(this.history.get(i).json);
				}
			}
			long left = (until - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || left <= 0) {
				return new Server.Reply(200, Json.of("events", events, "currentRev", this.revision));
			}
			wait(left);
		}
	}

	@SuppressWarnings("unchecked")
	private synchronized Server.Reply transact(Map<String, Object> body) {
		List<Map<String, Object>> expected = (List<Map<String, Object>>) body.getOrDefault("expectRev", List.of());
		List<Map<String, Object>> puts = (List<Map<String, Object>>) body.getOrDefault("setKeys", List.of());
		List<String> removes = (List<String>) body.getOrDefault("remove", List.of());
		if (expected.size() + puts.size() + removes.size() > ENTRIES) {
			this.record.line("store: refused a transaction with too many entries");
			return new Server.Reply(400, Json.of("reason", "entries"));
		}
		for (Map<String, Object> put : puts) {
			String key = (String) put.get("key");
			int size = Base64.getDecoder().decode((String) put.get("value")).length;
			if (key.startsWith("op/") || key.startsWith("servers/")) {
				return new Server.Reply(403, Json.of());
			}
			if (size > VALUE_BYTES) {
				this.record.line("store: refused a value of " + size + " bytes under " + key);
				return new Server.Reply(400, Json.of("reason", "valueBytes"));
			}
			long lease = (put.get("lease") instanceof Number number) ? number.longValue() : 0;
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return new Server.Reply(404, Json.of());
			}
		}
		boolean holds = true;
		List<Object> current = new ArrayList<>();
		for (Map<String, Object> row : expected) {
			Item item = this.items.get((String) row.get("key"));
			long found = (item != null) ? item.revision : 0;
			holds = holds && found == ((Number) row.get("revision")).longValue();
			if (item != null) {
				current.add(item.json());
			}
		}
		if (!holds) {
			return new Server.Reply(412, Json.of("items", current));
		}
		for (Map<String, Object> put : puts) {
			set((String) put.get("key"), (String) put.get("value"),
					(put.get("lease") instanceof Number number) ? number.longValue() : 0);
		}
		removes.forEach(this::remove);
		notifyAll();
		return new Server.Reply(200, Json.of("revision", this.revision));
	}

	private synchronized Server.Reply grant(long ttlMs) {
		Lease lease = new Lease(this.nextLease++, Math.max(TTL_MIN_MS, ttlMs));
		this.leases.put(lease.id, lease);
		return new Server.Reply(200, Json.of("lease", lease.id, "ttlMs", lease.ttlMs));
	}

	private synchronized Server.Reply keep(long id) {
		Lease lease = this.leases.get(id);
		if (lease == null) {
			return new Server.Reply(404, Json.of());
		}
		lease.renew();
		return new Server.Reply(200, Json.of("ttlMs", lease.ttlMs));
	}

	private synchronized Server.Reply endLease(long id) {
		Lease lease = this.leases.get(id);
		if (lease == null) {
			return new Server.Reply(404, Json.of());
		}
		end(lease);
		return new Server.Reply(200, Json.of());
	}

	static boolean pause(long ms) {
		try {
			Thread.sleep(ms);
			return true;
		}
		catch (InterruptedException ex) {
			return false;
		}
	}

	private record Event(long revision, String key, Map<String, Object> json) {
	}

	private record Item(String key, String value, long revision, long created, long lease) {

		Map<String, Object> json() {
			return Json.of("key", this.key, "value", this.value, "revision", this.revision, "created", this.created,
					"lease", this.lease);
		}

	}

	private static final class Lease {

		final long id;

		final long ttlMs;

		long endsAt;

		Lease(long id, long ttlMs) {
			this.id = id;
			this.ttlMs = ttlMs;
			renew();
		}

		void renew() {
			this.endsAt = System.nanoTime() + this.ttlMs * 1_000_000;
		}

	}

}
