package org.citronrelay.internal.pipeline;

import java.util.function.Function;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.citronrelay.Outcome;
import org.citronrelay.internal.report.ServiceLevelCounters;
import org.citronrelay.internal.time.Ticker;

/**
 * Records the duration and outcome of each request, and counts whether the request met
 * the objective of its class.
 */
public final class MetricsFilter implements RequestFilter {

	private static final int FIRST_SERVER_ERROR_STATUS = 500;

	private final MeterRegistry registry;

	private final ServiceLevelCounters serviceLevels;

	private final Ticker ticker;

	public MetricsFilter(MeterRegistry registry, ServiceLevelCounters serviceLevels, Ticker ticker) {
		this.registry = registry;
		this.serviceLevels = serviceLevels;
		this.ticker = ticker;
	}

	@Override
	public Outcome apply(RequestContext request, Function<RequestContext, Outcome> next) {
		Timer.Sample sample = Timer.start(this.registry);
		Outcome outcome = next.apply(request);
		long now = this.ticker.millis();
		long tookMs = now - request.arrivedAt();
		boolean good = answeredWithoutServerError(outcome) && tookMs <= request.serviceClass().objective().latencyMs();
		sample.stop(Timer.builder("citronrelay.requests")
			.description("Requests by outcome and class.")
			.tag("outcome", outcomeLabel(outcome))
			.tag("class", request.serviceClass().name())
			.register(this.registry));
		this.serviceLevels.record(request.team().name(), request.serviceClass().name(),
				ServiceLevelCounters.Kind.REQUEST, good, tookMs, now);
		return outcome;
	}

	/**
	 * Returns the outcome as written in metrics and response headers: {@code done},
	 * {@code not-run} or {@code unknown}.
	 */
	public static String outcomeLabel(Outcome outcome) {
		return switch (outcome) {
			case Outcome.Done _ -> "done";
			case Outcome.NotRun _ -> "not-run";
			case Outcome.Unknown _ -> "unknown";
		};
	}

	private static boolean answeredWithoutServerError(Outcome outcome) {
		return outcome instanceof Outcome.Done done && done.status() < FIRST_SERVER_ERROR_STATUS;
	}

}
