package org.citronrelay.internal.pipeline;

import java.util.function.BooleanSupplier;
import java.util.function.Function;

import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;

/**
 * Rejects new requests while the process is shutting down, so that the shutdown ends even
 * if callers keep sending.
 */
public final class StoppingFilter implements RequestFilter {

	private static final long RETRY_AFTER_MS = 1_000;

	private final BooleanSupplier stopping;

	public StoppingFilter(BooleanSupplier stopping) {
		this.stopping = stopping;
	}

	@Override
	public Outcome apply(RequestContext request, Function<RequestContext, Outcome> next) {
		return this.stopping.getAsBoolean()
				? new Outcome.NotRun(NotRunCause.STOPPING, "the entry process is stopping", RETRY_AFTER_MS)
				: next.apply(request);
	}

}
