package org.citronrelay.internal.pipeline;

import java.util.function.Function;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.citronrelay.Outcome;
import org.citronrelay.internal.report.ServiceLevels;
import org.citronrelay.internal.time.Ticker;

/**
 * Measures each request and counts it against the objective of its class.
 */
public final class MeasureFilter implements RequestFilter {

	private static final int SERVER_FAILED = 500;

	private final MeterRegistry registry;

	private final ServiceLevels levels;

	private final Ticker ticker;

	public MeasureFilter(MeterRegistry registry, ServiceLevels levels, Ticker ticker) {
		this.registry = registry;
		this.levels = levels;
		this.ticker = ticker;
	}

	@Override
	public Outcome apply(RequestContext request, Function<RequestContext, Outcome> next) {
		Timer.Sample sample = Timer.start(this.registry);
		Outcome outcome = next.apply(request);
		long now = this.ticker.millis();
		long tookMs = now - request.arrivedAt();
		boolean good = answered(outcome) && tookMs <= request.serviceClass().objective().latencyMs();
		sample.stop(Timer.builder("citronrelay.requests")
			.description("Requests by outcome and class.")
			.tag("outcome", word(outcome))
			.tag("class", request.serviceClass().name())
			.register(this.registry));
		this.levels.count(request.team().name(), request.serviceClass().name(), ServiceLevels.Kind.REQUEST, good,
				tookMs, now);
		return outcome;
	}

	/**
	 * The outcome in one word.
	 */
	public static String word(Outcome outcome) {
		return switch (outcome) {
			case Outcome.Done _ -> "done";
			case Outcome.NotRun _ -> "not-run";
			case Outcome.Unknown _ -> "unknown";
		};
	}

	private static boolean answered(Outcome outcome) {
		return outcome instanceof Outcome.Done done && done.status() < SERVER_FAILED;
	}

}
