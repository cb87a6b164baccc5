package org.citronrelay.platform;

import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.Findings;
import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.cluster.BatchDesk;
import org.citronrelay.internal.cluster.Submission;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpHandler;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.schedule.JobPhase;

/**
 * Answers the calls of the platform's requesters.
 */
final class PlatformCallers implements HttpHandler {

	private static final Pattern ID = Pattern.compile("[0-9a-f]{16}");

	private static final String SCHEME = "Token ";

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	/** When to come back while there is no catalogue, in milliseconds. */
	private static final long NO_CATALOGUE_MS = 1_000;

	/** When to ask again for what the store could not tell, in milliseconds. */
	private static final long ASK_AGAIN_MS = 1_000;

	private static final long MILLIS = 1_000;

	private final BatchDesk desk;

	private final Supplier<QueueCatalogue> catalogue;

	private final LongSupplier wallClock;

	PlatformCallers(BatchDesk desk, Supplier<QueueCatalogue> catalogue, LongSupplier wallClock) {
		this.desk = desk;
		this.catalogue = catalogue;
		this.wallClock = wallClock;
	}

	@Override
	public HttpReply handle(HttpCall call) {
		QueueCatalogue current = this.catalogue.get();
		HttpReply reply = answer(call, current);
		Part.REQUEST.logger()
			.atInfo()
			.addKeyValue("request", call.header("Request-Id").getOrElse(""))
			.addKeyValue("call", call.method() + " " + call.path())
			.addKeyValue("catalogue", current.version())
			.addKeyValue("status", reply.status())
			.addKeyValue("reason", (reply.status() != OK) ? reply.json().path("title").asText() : "")
			.log("Answered.");
		return reply;
	}

	private HttpReply answer(HttpCall call, QueueCatalogue current) {
		if (current.version() == 0) {
			return unavailable("this process has no catalogue yet", NO_CATALOGUE_MS);
		}
		String host = call.header("Host").getOrElse("").toLowerCase(Locale.ROOT).replaceFirst(":[0-9]+$", "");
		Option<QueueCatalogue.Entry> route = current.route(host, call.path());
		if (route.isEmpty()) {
			return Problem
				.of(404, "no-such-queue", "No queue is reached by this host and path.", "Check the host and the path.")
				.reply();
		}
		String team = team(call, current);
		if (team.isEmpty() && !route.get().anonymous()) {
			return Problem.of(401, "unknown-key", "The access key is missing or not known.", "Send a valid key.")
				.reply();
		}
		String rest = call.path().substring(route.get().prefix().length());
		return rest.isEmpty() ? queue(call, route.get()) : job(call, route.get(), team, rest, current);
	}

	private static String team(HttpCall call, QueueCatalogue current) {
		String sent = call.header("Authorization").getOrElse("");
		return sent.startsWith(SCHEME) ? current.teamsByKey().getOrDefault(sent.substring(SCHEME.length()).trim(), "")
				: "";
	}

	private HttpReply queue(HttpCall call, QueueCatalogue.Entry route) {
		if (!call.method().equals("GET")) {
			return methodNotAllowed();
		}
		return this.desk.waiting(route.queue().name())
			.fold((reason) -> unavailable(reason, ASK_AGAIN_MS),
					(count) -> HttpReply.json(OK, Json.object().put("pending", count)));
	}

	private HttpReply job(HttpCall call, QueueCatalogue.Entry route, String team, String id, QueueCatalogue current) {
		if (!ID.matcher(id).matches()) {
			return Problem.findings("path", Findings.of("/id", id, "16 hexadecimal digits")).reply();
		}
		return switch (call.method()) {
			case "POST" -> submit(call, route, team, id, current);
			case "GET" -> known(this.desk.phase(id));
			case "DELETE" -> known(this.desk.cancel(id));
			default -> methodNotAllowed();
		};
	}

	private HttpReply submit(HttpCall call, QueueCatalogue.Entry route, String team, String id,
			QueueCatalogue current) {
		if (call.body().length > current.bodyBytes()) {
			return Problem
				.of(413, "body-too-large", "The body is larger than " + current.bodyBytes() + " bytes.",
						"Send a smaller job.")
				.reply();
		}
		Either<Findings, BatchJob> job = PlatformJobs.read(call.body(), id, route.queue().name(), team,
				this.wallClock.getAsLong());
		if (job.isLeft()) {
			return Problem.findings("job", job.getLeft()).reply();
		}
		return switch (this.desk.submit(job.get())) {
			case Submission.Accepted _ -> HttpReply.json(OK, Json.object());
			case Submission.Refused refused -> unavailable(refused.reason(), refused.retryAfterMs());
			case Submission.Unknown unknown ->
				Problem.of(504, "outcome-unknown", "The job may be stored: " + unknown.reason(), "Send it again.")
					.reply();
		};
	}

	private static HttpReply known(Either<String, Option<JobPhase>> phase) {
		return phase.fold((reason) -> unavailable(reason, ASK_AGAIN_MS),
				(found) -> found.map((state) -> HttpReply.json(OK, Json.object().put("state", word(state))))
					.getOrElse(() -> Problem.of(410, "no-such-job", "There is no such job.", "Hand it in.").reply()));
	}

	private static String word(JobPhase phase) {
		return switch (phase) {
			case QUEUED -> "queued";
			case RUNNING -> "running";
			case COMPLETED -> "completed";
			case FAILED -> "failed";
			case CANCELLED -> "cancelled";
		};
	}

	private static HttpReply unavailable(String reason, long retryAfterMs) {
		long seconds = Math.max(1, (retryAfterMs + MILLIS - 1) / MILLIS);
		return Problem
			.of(UNAVAILABLE, "unavailable", "Not accepted, and it will not run: " + reason,
					"Come back after the time in Retry-After.")
			.reply()
			.header("Retry-After", Long.toString(seconds));
	}

	private static HttpReply methodNotAllowed() {
		return Problem.of(405, "method-not-allowed", "The path does not take this method.", "Use GET, POST or DELETE.")
			.reply();
	}

}
