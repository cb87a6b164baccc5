package org.citronrelay.internal.pipeline;

import java.util.function.Function;

import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;
import org.citronrelay.internal.admission.SlotLimiter;
import org.citronrelay.internal.time.Ticker;

/**
 * Waits for a slot before the request is sent; requests of classes with higher priority
 * get theirs first. Rejects the request if it gets none within the queue wait of its
 * class or before its deadline, or if the queue of waiting requests is full.
 */
public final class SlotFilter implements RequestFilter {

	private static final long RETRY_AFTER_MS = 1_000;

	private final SlotLimiter limiter;

	private final Ticker ticker;

	public SlotFilter(SlotLimiter limiter, Ticker ticker) {
		this.limiter = limiter;
		this.ticker = ticker;
	}

	@Override
	public Outcome apply(RequestContext request, Function<RequestContext, Outcome> next) {
		long remainingMs = request.deadline() - this.ticker.millis();
		long waitMs = Math.min(remainingMs, request.serviceClass().limits().queueWaitMs());
		if (!this.limiter.acquire(request.serviceClass().priority(), waitMs)) {
			return new Outcome.NotRun(NotRunCause.OVERLOAD,
					"no slot became free within " + waitMs + " ms for class " + request.serviceClass().name(),
					RETRY_AFTER_MS);
		}
		try {
			return next.apply(request);
		}
		finally {
			this.limiter.release();
		}
	}

}
