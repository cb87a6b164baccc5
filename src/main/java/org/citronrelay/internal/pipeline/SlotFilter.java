package org.citronrelay.internal.pipeline;

import java.util.function.Function;

import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;
import org.citronrelay.internal.admission.SlotGate;
import org.citronrelay.internal.time.Ticker;

/**
 * Waits for a slot, the most important class first, and answers early under overload.
 */
public final class SlotFilter implements RequestFilter {

	private static final long RETRY_AFTER_MS = 1_000;

	private final SlotGate gate;

	private final Ticker ticker;

	public SlotFilter(SlotGate gate, Ticker ticker) {
		this.gate = gate;
		this.ticker = ticker;
	}

	@Override
	public Outcome apply(RequestContext request, Function<RequestContext, Outcome> next) {
		long left = request.deadline() - this.ticker.millis();
		long waitMs = Math.min(left, request.serviceClass().limits().queueWaitMs());
		if (!this.gate.enter(request.serviceClass().priority(), waitMs)) {
			return new Outcome.NotRun(NotRunCause.OVERLOAD,
					"no slot within " + waitMs + " ms for class " + request.serviceClass().name(), RETRY_AFTER_MS);
		}
		try {
			return next.apply(request);
		}
		finally {
			this.gate.leave();
		}
	}

}
