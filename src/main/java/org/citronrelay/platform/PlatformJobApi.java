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
import org.citronrelay.internal.cluster.BatchJobService;
import org.citronrelay.internal.cluster.Submission;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpHandler;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.schedule.JobPhase;

/**
 * HTTP interface for the platform's requesters to submit, look up and cancel batch jobs
 * and to count the waiting jobs of a queue.
 */
final class PlatformJobApi implements HttpHandler {

	private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");

	private static final String SCHEME = "Token ";

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	/** Retry time given to callers before the first catalogue is read. */
	private static final long NO_CATALOGUE_RETRY_MS = 1_000;

	/** Retry time given to callers while the store does not answer. */
	private static final long STORE_RETRY_MS = 1_000;

	private static final long MILLIS_PER_SECOND = 1_000;

	private final BatchJobService jobs;

	private final Supplier<QueueCatalogue> catalogue;

	private final LongSupplier wallClock;

	PlatformJobApi(BatchJobService jobs, Supplier<QueueCatalogue> catalogue, LongSupplier wallClock) {
		this.jobs = jobs;
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
			.log("Answered a call.");
		return reply;
	}

	private HttpReply answer(HttpCall call, QueueCatalogue current) {
		if (current.version() == 0) {
			return unavailable("This process has read no catalogue yet.", NO_CATALOGUE_RETRY_MS);
		}
		String host = call.header("Host").getOrElse("").toLowerCase(Locale.ROOT).replaceFirst(":[0-9]+$", "");
		Option<QueueCatalogue.Route> route = current.route(host, call.path());
		if (route.isEmpty()) {
			return Problem.of(404, "no-such-queue", "No queue has this host and path.", "Check the host and the path.")
				.reply();
		}
		String team = team(call, current);
		if (team.isEmpty() && !route.get().anonymous()) {
			return Problem.of(401, "unknown-key", "The access key is missing or unknown.", "Send a valid access key.")
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

	private HttpReply queue(HttpCall call, QueueCatalogue.Route route) {
		if (!call.method().equals("GET")) {
			return methodNotAllowed();
		}
		return this.jobs.queuedJobs(route.queue().name())
			.fold((reason) -> unavailable("The number of waiting jobs cannot be read: " + reason, STORE_RETRY_MS),
					(count) -> HttpReply.json(OK, Json.object().put("pending", count)));
	}

	private HttpReply job(HttpCall call, QueueCatalogue.Route route, String team, String id, QueueCatalogue current) {
		if (!JOB_ID.matcher(id).matches()) {
			return Problem.findings("path", Findings.of("/id", id, "16 hexadecimal digits")).reply();
		}
		return switch (call.method()) {
			case "POST" -> submit(call, route, team, id, current);
			case "GET" -> phaseReply("The state of the job cannot be read: ", this.jobs.phase(id));
			case "DELETE" -> phaseReply("The cancellation is not confirmed: ", this.jobs.cancel(id));
			default -> methodNotAllowed();
		};
	}

	private HttpReply submit(HttpCall call, QueueCatalogue.Route route, String team, String id,
			QueueCatalogue current) {
		if (call.body().length > current.bodyBytes()) {
			return Problem
				.of(413, "body-too-large", "The body is larger than " + current.bodyBytes() + " bytes.",
						"Send a smaller job.")
				.reply();
		}
		Either<Findings, BatchJob> job = PlatformJobReader.read(call.body(), id, route.queue().name(), team,
				this.wallClock.getAsLong());
		if (job.isLeft()) {
			return Problem.findings("job", job.getLeft()).reply();
		}
		return switch (this.jobs.submit(job.get())) {
			case Submission.Accepted _ -> HttpReply.json(OK, Json.object());
			case Submission.Cancelled _ ->
				Problem
					.of(409, "cancelled", "The id was cancelled before a job was stored; the job will not run.",
							"Choose another id to run the job.")
					.reply();
			case Submission.Refused refused ->
				unavailable("This call stored no job: " + refused.reason(), refused.retryAfterMs());
			case Submission.IdTaken taken ->
				Problem.of(409, "id-taken", taken.reason(), "Choose another id, or look up the stored job.").reply();
			case Submission.Unknown unknown ->
				Problem
					.of(504, "outcome-unknown", "The job may have been stored: " + unknown.reason(),
							"Submit it again with the same id.")
					.reply();
		};
	}

	private static HttpReply phaseReply(String failed, Either<String, Option<JobPhase>> phase) {
		return phase.fold((reason) -> unavailable(failed + reason, STORE_RETRY_MS),
				(found) -> found.map((state) -> HttpReply.json(OK, Json.object().put("state", stateText(state))))
					.getOrElse(() -> Problem
						.of(410, "no-such-job", "There is no such job.", "Check the id, or submit the job.")
						.reply()));
	}

	private static String stateText(JobPhase phase) {
		return switch (phase) {
			case QUEUED -> "queued";
			case RUNNING -> "running";
			case COMPLETED -> "completed";
			case FAILED -> "failed";
			case CANCELLED -> "cancelled";
		};
	}

	private static HttpReply unavailable(String reason, long retryAfterMs) {
		long seconds = Math.max(1, (retryAfterMs + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
		return Problem.of(UNAVAILABLE, "unavailable", reason, "Send the call again after the time in Retry-After.")
			.reply()
			.header("Retry-After", Long.toString(seconds));
	}

	private static HttpReply methodNotAllowed() {
		return Problem
			.of(405, "method-not-allowed", "The path does not support this method.", "Use GET, POST or DELETE.")
			.reply();
	}

}
