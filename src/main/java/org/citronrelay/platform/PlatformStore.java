package org.citronrelay.platform;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.cluster.ClusterStore;
import org.citronrelay.internal.cluster.StoreFailure;
import org.citronrelay.internal.cluster.StoreRoute;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.TimeLimit;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;

/**
 * Client of the platform's metadata store over HTTP and JSON.
 */
final class PlatformStore implements ClusterStore {

	/**
	 * The time limit of a call, on top of the time that the store waits for a change.
	 * Pages and transactions may have a MB and more, which takes seconds on a slow link.
	 */
	private static final TimeLimit LIMIT = TimeLimit.ofSilence(600);

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int FORBIDDEN = 403;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private static final int PRECONDITION_FAILED = 412;

	private static final int TOO_LARGE = 413;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private final StoreRoute route;

	PlatformStore(StoreRoute route) {
		this.route = route;
	}

	@Override
	public Either<StoreFailure, Option<KvEntry>> read(String key) {
		return call(readOf(key), LIMIT).flatMap((reply) -> switch (reply.status()) {
			case OK -> body(reply).flatMap(PlatformStore::entry).map(Option::some);
			case NOT_FOUND -> Either.right(Option.none());
			default -> Either.left(unexpected(reply));
		});
	}

	@Override
	public Either<StoreFailure, KvSnapshot> list(String prefix) {
		List<KvEntry> entries = new ArrayList<>();
		long revision = Long.MAX_VALUE;
		String after = "";
		while (true) {
			HttpCall call = HttpCall.of("GET", "/citronrelay/kv-range").query("prefix", prefix);
			Either<StoreFailure, JsonNode> page = bodyOfOk(after.isEmpty() ? call : call.query("after", after), LIMIT);
			if (page.isLeft()) {
				return Either.left(page.getLeft());
			}
			for (JsonNode item : page.get().path("items")) {
				Either<StoreFailure, KvEntry> entry = entry(item);
				if (entry.isLeft()) {
					return Either.left(entry.getLeft());
				}
				entries.add(entry.get());
			}
			revision = Math.min(revision, page.get().path("currentRev").asLong());
			if (!page.get().path("hasMore").asBoolean() || entries.isEmpty()) {
				return Either.right(new KvSnapshot(entries, List.of(), revision));
			}
			after = entries.getLast().key();
		}
	}

	@Override
	public Either<StoreFailure, KvSnapshot> watch(String prefix, long afterRevision, long waitMs) {
		HttpCall call = HttpCall.of("GET", "/citronrelay/kv-watch")
			.query("prefix", prefix)
			.query("after", Long.toString(afterRevision))
			.query("waitMs", Long.toString(waitMs));
		return call(call, LIMIT.plusWait(waitMs)).flatMap((reply) -> switch (reply.status()) {
			case OK -> body(reply).flatMap(PlatformStore::changes);
			case GONE -> Either.left(new StoreFailure.HistoryGone());
			default -> Either.left(unexpected(reply));
		});
	}

	@Override
	public Either<StoreFailure, Long> transact(Transaction transaction) {
		ObjectNode body = Json.object();
		ArrayNode expected = body.putArray("expectRev");
		transaction.expected()
			.forEach((key, revision) -> expected.addObject().put("key", key).put("revision", revision));
		ArrayNode puts = body.putArray("setKeys");
		for (Put put : transaction.puts()) {
			ObjectNode node = puts.addObject()
				.put("key", put.key())
				.put("value", Base64.getEncoder().encodeToString(put.value()));
			if (!put.lease().isEmpty()) {
				node.put("lease", Long.parseLong(put.lease()));
			}
		}
		ArrayNode removes = body.putArray("remove");
		transaction.removes().forEach(removes::add);
		return call(post("/citronrelay/kv-txn", body), LIMIT).flatMap((reply) -> switch (reply.status()) {
			case OK -> body(reply).map((node) -> node.path("revision").asLong());
			case PRECONDITION_FAILED -> body(reply).flatMap(PlatformStore::conflicts);
			case NOT_FOUND -> Either.left(new StoreFailure.LeaseGone(firstLease(transaction)));
			default -> Either.left(unexpected(reply));
		});
	}

	@Override
	public Either<StoreFailure, String> grant(long ttlMs) {
		return bodyOfOk(post("/citronrelay/kv-lease", Json.object().put("ttlMs", ttlMs)), LIMIT)
			.flatMap((node) -> node.path("lease").canConvertToLong() ? Either.right(node.path("lease").asText())
					: Either.left(new StoreFailure.Ambiguous("the answer to a lease grant has no lease number")));
	}

	@Override
	public Either<StoreFailure, Boolean> renew(String lease) {
		return leaseExists(post("/citronrelay/kv-keep/" + lease, Json.object()));
	}

	@Override
	public Either<StoreFailure, Boolean> revoke(String lease) {
		return leaseExists(HttpCall.of("DELETE", "/citronrelay/kv-lease-end/" + lease));
	}

	static HttpCall readOf(String key) {
		return HttpCall.of("GET", "/citronrelay/kv-key").query("key", key);
	}

	private Either<StoreFailure, Boolean> leaseExists(HttpCall call) {
		return call(call, LIMIT).flatMap((reply) -> switch (reply.status()) {
			case OK -> Either.right(true);
			case NOT_FOUND -> Either.right(false);
			default -> Either.left(unexpected(reply));
		});
	}

	private Either<StoreFailure, JsonNode> bodyOfOk(HttpCall call, TimeLimit limit) {
		return call(call, limit)
			.flatMap((reply) -> (reply.status() == OK) ? body(reply) : Either.left(unexpected(reply)));
	}

	private Either<StoreFailure, HttpReply> call(HttpCall call, TimeLimit limit) {
		return switch (this.route.exchange(call, limit)) {
			case Exchange.Answered answered -> Either.right(answered.reply());
			case Exchange.NotSent notSent -> Either.left(new StoreFailure.Unavailable(notSent.reason()));
			case Exchange.Broken broken -> Either.left(new StoreFailure.Ambiguous(broken.reason()));
		};
	}

	private static HttpCall post(String path, ObjectNode body) {
		return HttpCall.of("POST", path).header("Content-Type", "application/json").body(Json.bytes(body));
	}

	private static StoreFailure unexpected(HttpReply reply) {
		String reason = "status " + reply.status();
		return switch (reply.status()) {
			case TOO_MANY_REQUESTS, UNAVAILABLE -> new StoreFailure.Unavailable(reason);
			case BAD_REQUEST, FORBIDDEN, TOO_LARGE -> new StoreFailure.Rejected(reason);
			default -> new StoreFailure.Ambiguous(reason);
		};
	}

	private static Either<StoreFailure, JsonNode> body(HttpReply reply) {
		return Json.parse(reply.body()).mapLeft((findings) -> new StoreFailure.Ambiguous(findings.text()));
	}

	private static Either<StoreFailure, KvEntry> entry(JsonNode node) {
		if (!node.path("key").isTextual() || !node.path("value").isTextual()
				|| !node.path("revision").canConvertToLong()) {
			return Either.left(new StoreFailure.Ambiguous("an item of the answer lacks key, value or revision"));
		}
		try {
			return Either.right(new KvEntry(node.path("key").asText(),
					Base64.getDecoder().decode(node.path("value").asText()), node.path("revision").asLong()));
		}
		catch (IllegalArgumentException ex) {
			return Either
				.left(new StoreFailure.Ambiguous("a value of the answer is not valid Base64: " + ex.getMessage()));
		}
	}

	/**
	 * Reduces a list of events to the last one of each key.
	 */
	private static Either<StoreFailure, KvSnapshot> changes(JsonNode node) {
		List<KvEntry> written = new ArrayList<>();
		List<String> deleted = new ArrayList<>();
		for (JsonNode event : node.path("events")) {
			String key = event.path("key").asText();
			written.removeIf((earlier) -> earlier.key().equals(key));
			deleted.remove(key);
			if (event.path("deleted").asBoolean()) {
				deleted.add(key);
				continue;
			}
			Either<StoreFailure, KvEntry> entry = entry(event);
			if (entry.isLeft()) {
				return Either.left(entry.getLeft());
			}
			written.add(entry.get());
		}
		return Either.right(new KvSnapshot(written, deleted, node.path("currentRev").asLong()));
	}

	private static Either<StoreFailure, Long> conflicts(JsonNode node) {
		List<KvEntry> current = new ArrayList<>();
		for (JsonNode item : node.path("items")) {
			entry(item).peek(current::add);
		}
		return Either.left(new StoreFailure.Conflict(current));
	}

	private static String firstLease(Transaction transaction) {
		return transaction.puts().stream().map(Put::lease).filter((lease) -> !lease.isEmpty()).findFirst().orElse("");
	}

}
