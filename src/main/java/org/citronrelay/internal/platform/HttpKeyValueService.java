package org.citronrelay.internal.platform;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;

/**
 * Client of the key-value service over HTTP and JSON. Counts the calls in the metric
 * {@code citronrelay.kv.calls}, tagged by kind.
 */
public final class HttpKeyValueService implements KeyValueService {

	private static final int STATUS_CONFLICT = 409;

	private static final int STATUS_NOT_FOUND = 404;

	private static final int STATUS_LEASE_GONE = 410;

	private static final int STATUS_TOO_MANY_REQUESTS = 429;

	/** Time that a watch may take on top of the time the service waits for a change. */
	private static final long WATCH_GRACE_MS = 2_000;

	private final HttpClient client;

	private final Address address;

	private final long timeoutMs;

	private final MeterRegistry registry;

	private final Map<String, Counter> calls = new ConcurrentHashMap<>();

	public HttpKeyValueService(HttpClient client, Address address, long timeoutMs, MeterRegistry registry) {
		this.client = client;
		this.address = address;
		this.timeoutMs = timeoutMs;
		this.registry = registry;
	}

	@Override
	public Either<KvFailure, Option<KvEntry>> read(String key) {
		return send("read", HttpCall.of("GET", "/kv").query("key", key), this.timeoutMs)
			.map((body) -> Option.of(body.get("entry")).filter((entry) -> !entry.isNull()).map(this::entry));
	}

	@Override
	public Either<KvFailure, KvSnapshot> list(String prefix) {
		return send("list", HttpCall.of("GET", "/kv").query("prefix", prefix), this.timeoutMs).map(this::snapshot);
	}

	@Override
	public Either<KvFailure, KvEntry> write(String key, byte[] value, Expectation expectation, String lease) {
		ObjectNode body = Json.object().put("value", Base64.getEncoder().encodeToString(value)).put("lease", lease);
		switch (expectation) {
			case Expectation.Absent _ -> body.put("expect", 0);
			case Expectation.Revision revision -> body.put("expect", revision.revision());
			case Expectation.Unconditional _ -> body.putNull("expect");
		}
		HttpCall call = HttpCall.of("PUT", "/kv").query("key", key).body(Json.bytes(body));
		return send("write", call, this.timeoutMs)
			.map((reply) -> new KvEntry(key, value, reply.get("revision").asLong()));
	}

	@Override
	public Either<KvFailure, Boolean> delete(String key, long revision) {
		HttpCall call = HttpCall.of("DELETE", "/kv").query("key", key).query("expect", Long.toString(revision));
		return send("delete", call, this.timeoutMs).map((body) -> body.path("deleted").asBoolean());
	}

	@Override
	public Either<KvFailure, String> grant(long ttlMs) {
		HttpCall call = HttpCall.of("POST", "/leases").body(Json.bytes(Json.object().put("ttlMs", ttlMs)));
		return send("grant", call, this.timeoutMs).map((body) -> body.get("lease").asText());
	}

	@Override
	public Either<KvFailure, Boolean> renew(String lease) {
		return send("renew", HttpCall.of("POST", "/leases/" + lease), this.timeoutMs)
			.map((body) -> body.path("alive").asBoolean());
	}

	@Override
	public Either<KvFailure, Boolean> revoke(String lease) {
		return send("revoke", HttpCall.of("DELETE", "/leases/" + lease), this.timeoutMs)
			.map((body) -> body.path("alive").asBoolean());
	}

	@Override
	public Either<KvFailure, KvSnapshot> watch(String prefix, long afterRevision, long waitMs) {
		HttpCall call = HttpCall.of("GET", "/watch")
			.query("prefix", prefix)
			.query("after", Long.toString(afterRevision))
			.query("waitMs", Long.toString(waitMs));
		return send("watch", call, waitMs + WATCH_GRACE_MS).map(this::snapshot);
	}

	private Either<KvFailure, JsonNode> send(String kind, HttpCall call, long waitMs) {
		counter(kind).increment();
		return switch (this.client.exchange(this.address, call, waitMs, false)) {
			case Exchange.Answered answered -> result(answered.reply());
			case Exchange.NotSent notSent -> Either.left(new KvFailure.Unavailable(notSent.reason()));
			case Exchange.Broken broken -> Either.left(new KvFailure.Ambiguous(broken.reason()));
		};
	}

	private Either<KvFailure, JsonNode> result(HttpReply reply) {
		return switch (reply.status()) {
			case 200, STATUS_NOT_FOUND -> Either.right(reply.json());
			case STATUS_CONFLICT -> Either.left(new KvFailure.Conflict(
					Option.of(reply.json().get("entry")).filter((entry) -> !entry.isNull()).map(this::entry)));
			case STATUS_LEASE_GONE -> Either.left(new KvFailure.LeaseGone(reply.json().path("lease").asText()));
			case STATUS_TOO_MANY_REQUESTS, 503 -> Either.left(new KvFailure.Unavailable("status " + reply.status()));
			default -> Either.left(new KvFailure.Ambiguous("status " + reply.status()));
		};
	}

	private KvSnapshot snapshot(JsonNode body) {
		List<KvEntry> entries = new ArrayList<>();
		body.path("entries").forEach((entry) -> entries.add(entry(entry)));
		List<String> deleted = new ArrayList<>();
		body.path("deleted").forEach((key) -> deleted.add(key.asText()));
		return new KvSnapshot(entries, deleted, body.path("revision").asLong());
	}

	private KvEntry entry(JsonNode node) {
		return new KvEntry(node.get("key").asText(), Base64.getDecoder().decode(node.get("value").asText()),
				node.get("revision").asLong());
	}

	private Counter counter(String kind) {
		return this.calls.computeIfAbsent(kind,
				(key) -> Counter.builder("citronrelay.kv.calls")
					.description("Calls to the key-value service.")
					.tag("kind", key)
					.register(this.registry));
	}

}
