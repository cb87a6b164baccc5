package org.citronrelay.internal.api;

import java.util.Map;
import java.util.UUID;
import java.util.function.Function;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry.Service;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.claim.AtMostOnceExecutor;
import org.citronrelay.internal.claim.Claim;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.pipeline.MetricsFilter;
import org.citronrelay.internal.pipeline.RequestContext;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.time.Ticker;

/**
 * HTTP interface for callers to send requests ({@code POST /v1/requests/{service}}) and
 * to look up their outcomes ({@code GET /v1/requests/{key}}).
 */
final class RequestApi {

	private static final String KEY = "Idempotency-Key";

	private static final String OUTCOME = "Citronrelay-Outcome";

	private static final int MAX_KEY_CHARS = 255;

	private final Function<RequestContext, Outcome> pipeline;

	private final AtMostOnceExecutor atMostOnceExecutor;

	private final Ticker ticker;

	RequestApi(Function<RequestContext, Outcome> pipeline, AtMostOnceExecutor atMostOnceExecutor, Ticker ticker) {
		this.pipeline = pipeline;
		this.atMostOnceExecutor = atMostOnceExecutor;
		this.ticker = ticker;
	}

	HttpReply send(HttpCall call, String serviceName, Team team, Catalogue catalogue) {
		Option<Service> service = catalogue.service(serviceName);
		if (service.isEmpty()) {
			return Problem
				.of(404, "no-such-service", "There is no service \"" + serviceName + "\".",
						"Ask the operators for its name.")
				.with("outcome", "not-run")
				.reply()
				.header(OUTCOME, "not-run");
		}
		return context(call, service.get(), team, catalogue).fold(
				(problem) -> problem.reply().header(OUTCOME, "not-run"),
				(request) -> reply(this.pipeline.apply(request)));
	}

	/**
	 * Looks up the outcome of the request that was sent under a key.
	 * @param waitMs maximum time to wait for a request in progress, in milliseconds
	 */
	HttpReply lookUp(String key, Team team, long waitMs) {
		String storageKey = Claim.storageKey(team.id(), key);
		Either<KvFailure, Option<Outcome>> found = this.atMostOnceExecutor.lookUp(storageKey,
				this.ticker.millis() + waitMs);
		if (found.isLeft()) {
			return Problem.of(503, "platform", "The key cannot be looked up at present.", "Try again in a few seconds.")
				.reply()
				.header("Retry-After", "2");
		}
		return found.get()
			.map(RequestApi::reply)
			.getOrElse(() -> HttpReply.json(200, Json.object().put("outcome", "not-run").put("reason", "never used")));
	}

	private Either<Problem, RequestContext> context(HttpCall call, Service service, Team team, Catalogue catalogue) {
		String key = call.header(KEY).getOrElse("");
		if (!service.idempotent() && key.isEmpty()) {
			return Either.left(Problem.of(400, "key-missing",
					"Service \"" + service.name() + "\" runs a request at most once and needs a key.",
					"Send the header " + KEY + " with a new value for each new request."));
		}
		if (key.length() > MAX_KEY_CHARS || key.chars().anyMatch(Character::isISOControl)) {
			return Either.left(Problem.of(400, "key-malformed", "The header " + KEY + " is malformed.",
					"Send at most " + MAX_KEY_CHARS + " characters without control characters."));
		}
		if (call.body().length > service.limits().bodyBytes()) {
			return Either.left(Problem.of(413, "body-too-large", "The body has " + call.body().length
					+ " bytes; the maximum is " + service.limits().bodyBytes() + ".", "Send a smaller body."));
		}
		return deadlineMs(call, service).map((deadlineMs) -> context(call, service, team, catalogue, key, deadlineMs));
	}

	private RequestContext context(HttpCall call, Service service, Team team, Catalogue catalogue, String key,
			long deadlineMs) {
		long now = this.ticker.millis();
		String digest = CatalogueVersion.sha256(service.name() + "\n" + CatalogueVersion.sha256(call.body()));
		return new RequestContext(UUID.randomUUID().toString(), team, service,
				RequestContext.serviceClassOf(catalogue, service), key, digest,
				call.header("Content-Type").getOrElse("application/octet-stream"), call.body(), now, now + deadlineMs);
	}

	private static Either<Problem, Long> deadlineMs(HttpCall call, Service service) {
		String text = call.header("Deadline-Ms").getOrElse(Integer.toString(service.limits().deadlineMs()));
		if (!text.matches("[1-9][0-9]{0,8}")) {
			return Either.left(Problem.of(400, "deadline-malformed", "The header Deadline-Ms is malformed.",
					"Send a positive whole number of milliseconds of at most 9 digits."));
		}
		return Either.right(Math.min(Long.parseLong(text), service.limits().deadlineMs()));
	}

	static HttpReply reply(Outcome outcome) {
		HttpReply reply = switch (outcome) {
			case Outcome.Done done -> done(done);
			case Outcome.NotRun notRun -> notRun(notRun);
			case Outcome.Unknown unknown -> Problem
				.of(504, "unknown", "The request may have run: " + unknown.reason() + ".",
						"Look up the key later, or check at the backend. Do not send the request under a new key.")
				.with("outcome", "unknown")
				.reply();
		};
		return reply.header(OUTCOME, MetricsFilter.outcomeLabel(outcome));
	}

	private static HttpReply done(Outcome.Done done) {
		String type = done.headers().getOrDefault("Content-Type", "application/octet-stream");
		return new HttpReply(done.status(), Map.of("Content-Type", type), done.body());
	}

	private static HttpReply notRun(Outcome.NotRun notRun) {
		int status = switch (notRun.cause()) {
			case TEAM_LIMIT -> 429;
			case KEY_REUSED -> 422;
			case OVERLOAD, NO_BACKEND, PLATFORM, DEADLINE, STOPPING -> 503;
		};
		String type = notRun.cause().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
		String next = (notRun.cause() == NotRunCause.KEY_REUSED) ? "Use a new key for a new request."
				: "Send it again with the same key.";
		HttpReply reply = Problem.of(status, type, "The request did not run: " + notRun.reason() + ".", next)
			.with("outcome", "not-run")
			.reply();
		return (notRun.retryAfterMs() > 0)
				? reply.header("Retry-After", Long.toString(Math.ceilDiv(notRun.retryAfterMs(), 1_000L))) : reply;
	}

}
