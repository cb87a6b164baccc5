package org.citronrelay.internal.api;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.citronrelay.Catalogue;
import org.citronrelay.Findings;
import org.citronrelay.Outcome;
import org.citronrelay.internal.catalogue.AppliedCatalogue;
import org.citronrelay.internal.catalogue.CatalogueStore;
import org.citronrelay.internal.claim.AtMostOnceExecutor;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpHandler;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.pipeline.RequestContext;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.time.Ticker;

/**
 * Routes each call to the interface that handles its path. Except for the health and
 * metrics paths, callers are authenticated first.
 */
public final class Router implements HttpHandler {

	private static final String REQUESTS = "/v1/requests/";

	private static final String JOBS = "/v1/jobs";

	/**
	 * Maximum time that a lookup of a key waits for a request in progress, in
	 * milliseconds.
	 */
	private static final long KEY_WAIT_MS = 1_000;

	private final Dependencies dependencies;

	private final RequestApi requests;

	private final JobApi jobs;

	private final CatalogueApi catalogue;

	public Router(Dependencies dependencies) {
		this.dependencies = dependencies;
		this.requests = new RequestApi(dependencies.pipeline(), dependencies.atMostOnceExecutor(),
				dependencies.ticker());
		this.jobs = new JobApi(dependencies.jobs(), dependencies.vms(), dependencies.holders());
		this.catalogue = new CatalogueApi(dependencies.store(), dependencies.applied(), dependencies.check(),
				dependencies.inForce());
	}

	@Override
	public HttpReply handle(HttpCall call) {
		return switch (call.path()) {
			case "/health/live" -> HttpReply.json(200, Json.object().put("live", true));
			case "/health/ready" -> ready();
			case "/metrics" -> HttpReply.text(200, this.dependencies.registry().scrape());
			default -> authenticated(call);
		};
	}

	private HttpReply ready() {
		boolean ready = this.dependencies.ready().getAsBoolean();
		return HttpReply.json(ready ? 200 : 503, Json.object().put("ready", ready));
	}

	private HttpReply authenticated(HttpCall call) {
		Catalogue current = this.dependencies.applied().current().catalogue();
		Caller caller = Caller.of(call, current, this.dependencies.operatorTokenDigests());
		if (caller instanceof Caller.Unidentified) {
			return Problem
				.of(401, "unauthorized", "The call has no token or an unknown one.",
						"Send the header Authorization: Bearer TOKEN.")
				.reply();
		}
		if (call.path().startsWith(REQUESTS)) {
			return request(call, caller, current);
		}
		if (call.path().equals(JOBS) || call.path().startsWith(JOBS + "/")) {
			return job(call, caller, current);
		}
		return operator(call, caller);
	}

	private HttpReply request(HttpCall call, Caller caller, Catalogue current) {
		if (!(caller instanceof Caller.TeamMember member)) {
			return forbidden("Only teams send requests.");
		}
		String name = call.path().substring(REQUESTS.length());
		return switch (call.method()) {
			case "POST" -> this.requests.send(call, name, member.team(), current);
			case "GET" -> this.requests.lookUp(name, member.team(), KEY_WAIT_MS);
			default -> notAllowed();
		};
	}

	private HttpReply job(HttpCall call, Caller caller, Catalogue current) {
		String id = call.path().substring(Math.min(call.path().length(), JOBS.length() + 1));
		return switch (call.method()) {
			case "POST" -> (caller instanceof Caller.TeamMember member)
					? this.jobs.submit(call, member.team(), current, this.dependencies.wallClock().getAsLong())
					: forbidden("Only teams submit jobs.");
			case "GET" -> id.isEmpty() ? this.jobs.list(caller) : this.jobs.status(id, caller);
			case "DELETE" -> this.jobs.cancel(id, caller);
			default -> notAllowed();
		};
	}

	private HttpReply operator(HttpCall call, Caller caller) {
		if (!(caller instanceof Caller.Operator operator)) {
			return forbidden("Only operators may call this path.");
		}
		if (call.path().equals("/v1/report")) {
			return HttpReply.json(200, this.dependencies.report().get());
		}
		return this.catalogue.handle(call, operator.name(), this.dependencies.wallClock().getAsLong());
	}

	private static HttpReply forbidden(String reason) {
		return Problem.of(403, "forbidden", reason, "Use a token of the right kind.").reply();
	}

	private static HttpReply notAllowed() {
		return Problem.of(405, "method-not-allowed", "The path does not support this method.", "See docs/CALLERS.md.")
			.reply();
	}

	/**
	 * The services of the process that the router uses.
	 *
	 * @param pipeline executes a request and returns its outcome
	 * @param atMostOnceExecutor looks up the outcomes of idempotency keys
	 * @param jobs stores and finds jobs
	 * @param vms returns the VM list
	 * @param holders access to the holders of the failure domains
	 * @param store the versions of the catalogue
	 * @param applied the version of the catalogue in force in this process
	 * @param check checks a well-formed catalogue beyond its syntax
	 * @param inForce reports the versions in force at all entry processes
	 * @param report reports the service levels of all entry processes
	 * @param ready whether this process accepts calls
	 * @param registry the registry of the metrics
	 * @param operatorTokenDigests the digests of the operators' tokens
	 * @param ticker the monotonic clock
	 * @param wallClock the wall clock in milliseconds; only for times shown to people,
	 * never for decisions
	 */
	public record Dependencies(Function<RequestContext, Outcome> pipeline, AtMostOnceExecutor atMostOnceExecutor,
			JobService jobs, Supplier<List<Vm>> vms, JobApi.HolderLink holders, CatalogueStore store,
			AppliedCatalogue applied, Function<Catalogue, Findings> check, Supplier<ObjectNode> inForce,
			Supplier<ObjectNode> report, BooleanSupplier ready, PrometheusMeterRegistry registry,
			List<String> operatorTokenDigests, Ticker ticker, LongSupplier wallClock) {
	}

}
