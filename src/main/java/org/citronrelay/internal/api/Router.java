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
import org.citronrelay.internal.claim.ClaimDesk;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpHandler;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.pipeline.RequestContext;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.time.Ticker;

/**
 * Sends each call to the part that answers it, after its caller is known.
 */
public final class Router implements HttpHandler {

	private static final String REQUESTS = "/v1/requests/";

	private static final String JOBS = "/v1/jobs";

	private static final long KEY_WAIT_MS = 1_000;

	private final Parts parts;

	private final RequestApi requests;

	private final JobApi jobs;

	private final CatalogueApi catalogue;

	public Router(Parts parts) {
		this.parts = parts;
		this.requests = new RequestApi(parts.pipeline(), parts.claims(), parts.ticker());
		this.jobs = new JobApi(parts.jobs(), parts.vms(), parts.holders());
		this.catalogue = new CatalogueApi(parts.store(), parts.applied(), parts.check(), parts.inForce());
	}

	@Override
	public HttpReply handle(HttpCall call) {
		return switch (call.path()) {
			case "/health/live" -> HttpReply.json(200, Json.object().put("live", true));
			case "/health/ready" -> ready();
			case "/metrics" -> HttpReply.text(200, this.parts.registry().scrape());
			default -> identified(call);
		};
	}

	private HttpReply ready() {
		boolean ready = this.parts.ready().getAsBoolean();
		return HttpReply.json(ready ? 200 : 503, Json.object().put("ready", ready));
	}

	private HttpReply identified(HttpCall call) {
		Catalogue current = this.parts.applied().current().catalogue();
		Caller caller = Caller.of(call, current, this.parts.operatorTokenDigests());
		if (caller instanceof Caller.Nobody) {
			return Problem
				.of(401, "unauthorized", "The call has no known token.", "Send the header Authorization: Bearer TOKEN.")
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
		if (!(caller instanceof Caller.Member member)) {
			return forbidden("Only teams send requests.");
		}
		String name = call.path().substring(REQUESTS.length());
		return switch (call.method()) {
			case "POST" -> this.requests.send(call, name, member.team(), current);
			case "GET" -> this.requests.ask(name, member.team(), KEY_WAIT_MS);
			default -> notAllowed();
		};
	}

	private HttpReply job(HttpCall call, Caller caller, Catalogue current) {
		String id = call.path().substring(Math.min(call.path().length(), JOBS.length() + 1));
		return switch (call.method()) {
			case "POST" -> (caller instanceof Caller.Member member)
					? this.jobs.submit(call, member.team(), current, this.parts.wallClock().getAsLong())
					: forbidden("Only teams submit jobs.");
			case "GET" -> id.isEmpty() ? this.jobs.list(caller) : this.jobs.status(id, caller);
			case "DELETE" -> this.jobs.cancel(id, caller);
			default -> notAllowed();
		};
	}

	private HttpReply operator(HttpCall call, Caller caller) {
		if (!(caller instanceof Caller.Operator operator)) {
			return forbidden("Only operators may do this.");
		}
		if (call.path().equals("/v1/report")) {
			return HttpReply.json(200, this.parts.report().get());
		}
		return this.catalogue.handle(call, operator.name(), this.parts.wallClock().getAsLong());
	}

	private static HttpReply forbidden(String why) {
		return Problem.of(403, "forbidden", why, "Use a token of the right kind.").reply();
	}

	private static HttpReply notAllowed() {
		return Problem.of(405, "method-not-allowed", "The path does not take this method.", "See docs/CALLERS.md.")
			.reply();
	}

	/**
	 * What the router needs of the rest of the process.
	 *
	 * @param pipeline the path of a request
	 * @param claims the claims of keys
	 * @param jobs the records of jobs
	 * @param vms the VM list
	 * @param holders the holders of failure domains
	 * @param store the versions of the catalogue
	 * @param applied the version in force here
	 * @param check what a catalogue must meet beside its form
	 * @param inForce the versions in force at all entry processes
	 * @param report the service levels of all entry processes
	 * @param ready whether this process takes calls
	 * @param registry the metrics
	 * @param operatorTokenDigests the digests of the operators' tokens
	 * @param ticker the monotonic clock
	 * @param wallClock the wall clock in milliseconds, for people only
	 */
	public record Parts(Function<RequestContext, Outcome> pipeline, ClaimDesk claims, JobDesk jobs,
			Supplier<List<Vm>> vms, JobApi.HolderLink holders, CatalogueStore store, AppliedCatalogue applied,
			Function<Catalogue, Findings> check, Supplier<ObjectNode> inForce, Supplier<ObjectNode> report,
			BooleanSupplier ready, PrometheusMeterRegistry registry, List<String> operatorTokenDigests, Ticker ticker,
			LongSupplier wallClock) {
	}

}
