package org.citronrelay.internal.standin;

import java.util.Base64;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpEndpoint;
import org.citronrelay.internal.http.HttpLimits;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.HttpReply.Delivery;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.platform.Expectation;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * A stand-in for the platform's key-value service, with compare-and-swap, leases, watches
 * and rate limits. Calls under {@code /control/} inject faults, back up and restore the
 * state, and return the number of calls by kind.
 */
public final class StandInKv implements AutoCloseable {

	/** The limit of writes per second; calls above it get status 429. */
	public static final int WRITES_PER_SECOND = 500;

	/** The limit of reads and watches per second; calls above it get status 429. */
	public static final int READS_PER_SECOND = 2_000;

	private static final int MAX_BODY_BYTES = 2 * KeyValueService.MAX_VALUE_BYTES;

	private static final long WATCH_POLL_INTERVAL_MS = 10;

	private final KvStore store = new KvStore();

	private final Map<String, LongAdder> calls = new ConcurrentSkipListMap<>();

	private final AtomicReference<KvFaults> faults = new AtomicReference<>(KvFaults.NONE);

	private final RateLimiter writes = new RateLimiter(WRITES_PER_SECOND);

	private final RateLimiter reads = new RateLimiter(READS_PER_SECOND);

	private final Ticker ticker;

	private final HttpEndpoint endpoint;

	/**
	 * Starts the service.
	 * @param address where it listens
	 */
	public StandInKv(Address address, Ticker ticker) {
		this.ticker = ticker;
		HttpLimits limits = new HttpLimits(HttpLimits.DEFAULT.headerBytes(), MAX_BODY_BYTES,
				HttpLimits.DEFAULT.connections(), HttpLimits.DEFAULT.idle());
		this.endpoint = HttpEndpoint.start(address, limits, this::handle);
	}

	@Override
	public void close() {
		this.endpoint.close();
	}

	private HttpReply handle(HttpCall call) {
		return switch (call.path()) {
			case "/control/faults" -> setFaults(call);
			case "/control/calls" -> callCounts();
			case "/control/backup" -> {
				this.store.backUp();
				yield HttpReply.json(200, Json.object());
			}
			case "/control/restore" -> HttpReply.json(this.store.restore() ? 200 : 409, Json.object());
			default -> serve(call);
		};
	}

	private HttpReply setFaults(HttpCall call) {
		this.faults.set(KvFaults.fromJson(Json.parse(call.body()).getOrElse(Json.object())));
		return HttpReply.json(200, this.faults.get().toJson());
	}

	private HttpReply callCounts() {
		ObjectNode body = Json.object();
		this.calls.forEach((kind, count) -> body.put(kind, count.sum()));
		return HttpReply.json(200, body);
	}

	private HttpReply serve(HttpCall call) {
		KvFaults current = this.faults.get();
		String kind = kind(call);
		this.calls.computeIfAbsent(kind, (key) -> new LongAdder()).increment();
		Pause.millis(current.delayMs());
		if (current.down()) {
			return HttpReply.json(503, Json.object()).withDelivery(Delivery.DROPPED);
		}
		boolean write = isWrite(kind);
		if (!(write ? this.writes : this.reads).tryAcquire(this.ticker.millis())) {
			return HttpReply.json(429, Json.object());
		}
		HttpReply reply = answer(call, kind);
		return (write && consumeLostReply()) ? reply.withDelivery(Delivery.DROPPED) : reply;
	}

	private HttpReply answer(HttpCall call, String kind) {
		long now = this.ticker.millis();
		return switch (kind) {
			case "read" -> HttpReply.json(200, optionalEntry(this.store.read(call.parameter("key", ""), now)));
			case "list" -> HttpReply.json(200, json(this.store.list(call.parameter("prefix", ""), now)));
			case "write" -> write(call, now);
			case "delete" -> delete(call, now);
			case "grant" -> HttpReply.json(200,
					Json.object().put("lease", this.store.grant(body(call).path("ttlMs").asLong(), now)));
			case "renew" -> aliveReply(this.store.renew(leaseOf(call), now));
			case "revoke" -> aliveReply(this.store.revoke(leaseOf(call), now));
			case "watch" -> watch(call);
			default -> Problem.of(404, "not-found", "No such call.", "See the protocol.").reply();
		};
	}

	private HttpReply write(HttpCall call, long now) {
		JsonNode body = body(call);
		byte[] value = Base64.getDecoder().decode(body.path("value").asText());
		if (value.length > KeyValueService.MAX_VALUE_BYTES) {
			return Problem.of(413, "too-large", "The value is larger than 1 MB.", "Split it.").reply();
		}
		Either<KvFailure, KvEntry> result = this.store.write(call.parameter("key", ""), value, expectation(body),
				body.path("lease").asText(), now);
		return result.fold(StandInKv::failureReply,
				(entry) -> HttpReply.json(200, Json.object().put("revision", entry.revision())));
	}

	private HttpReply delete(HttpCall call, long now) {
		long expected = Long.parseLong(call.parameter("expect", "0"));
		return this.store.delete(call.parameter("key", ""), expected, now)
			.fold(StandInKv::failureReply, (deleted) -> HttpReply.json(200, Json.object().put("deleted", deleted)));
	}

	private HttpReply watch(HttpCall call) {
		String prefix = call.parameter("prefix", "");
		long after = Long.parseLong(call.parameter("after", "0"));
		long deadline = this.ticker.millis() + Long.parseLong(call.parameter("waitMs", "0"));
		KvSnapshot changes = this.store.changes(prefix, after, this.ticker.millis());
		while ((changes.isEmpty() || this.faults.get().stalledWatches()) && this.ticker.millis() < deadline) {
			Pause.millis(WATCH_POLL_INTERVAL_MS);
			changes = this.store.changes(prefix, after, this.ticker.millis());
		}
		if (this.faults.get().stalledWatches()) {
			return HttpReply.json(200, Json.object()).withDelivery(Delivery.DROPPED);
		}
		return HttpReply.json(200, json(changes));
	}

	/**
	 * Returns whether the reply to the current write is to be dropped, and counts it as
	 * dropped if so.
	 */
	private boolean consumeLostReply() {
		KvFaults before = this.faults
			.getAndUpdate((faults) -> faults.withLostReplies(Math.max(0, faults.lostReplies() - 1)));
		return before.lostReplies() > 0;
	}

	private static Expectation expectation(JsonNode body) {
		JsonNode expect = body.path("expect");
		if (expect.isNull()) {
			return new Expectation.Unconditional();
		}
		return (expect.asLong() == 0) ? Expectation.absent() : Expectation.revision(expect.asLong());
	}

	private static HttpReply failureReply(KvFailure failure) {
		return switch (failure) {
			case KvFailure.Conflict conflict -> HttpReply.json(409, optionalEntry(conflict.current()));
			case KvFailure.LeaseGone gone -> HttpReply.json(410, Json.object().put("lease", gone.lease()));
			case KvFailure.Unavailable _, KvFailure.Ambiguous _ -> HttpReply.json(503, Json.object());
		};
	}

	private static HttpReply aliveReply(boolean alive) {
		return HttpReply.json(200, Json.object().put("alive", alive));
	}

	private static JsonNode body(HttpCall call) {
		return Json.parse(call.body()).getOrElse(Json.object());
	}

	private static String leaseOf(HttpCall call) {
		return call.path().substring("/leases/".length());
	}

	private static String kind(HttpCall call) {
		if (call.path().equals("/watch")) {
			return "watch";
		}
		if (call.path().equals("/leases")) {
			return "grant";
		}
		if (call.path().startsWith("/leases/")) {
			return call.method().equals("DELETE") ? "revoke" : "renew";
		}
		return switch (call.method()) {
			case "PUT" -> "write";
			case "DELETE" -> "delete";
			default -> call.query().containsKey("key") ? "read" : "list";
		};
	}

	private static boolean isWrite(String kind) {
		return switch (kind) {
			case "read", "list", "watch" -> false;
			default -> true;
		};
	}

	private static ObjectNode optionalEntry(Option<KvEntry> entry) {
		ObjectNode body = Json.object();
		entry.forEach((existing) -> body.set("entry", json(existing)));
		return body;
	}

	private static ObjectNode json(KvEntry entry) {
		return Json.object()
			.put("key", entry.key())
			.put("value", Base64.getEncoder().encodeToString(entry.value()))
			.put("revision", entry.revision());
	}

	private static ObjectNode json(KvSnapshot snapshot) {
		ObjectNode body = Json.object().put("revision", snapshot.revision());
		snapshot.entries().forEach((entry) -> body.withArray("entries").add(json(entry)));
		snapshot.deleted().forEach((key) -> body.withArray("deleted").add(key));
		return body;
	}

}
