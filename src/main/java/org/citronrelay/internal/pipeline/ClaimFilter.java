package org.citronrelay.internal.pipeline;

import java.util.function.Function;

import org.citronrelay.Outcome;
import org.citronrelay.internal.claim.AtMostOnceExecutor;
import org.citronrelay.internal.claim.Claim;

/**
 * Claims the idempotency key of a non-idempotent request before the request is sent, so
 * that it runs at most once over all entry processes.
 */
public final class ClaimFilter implements RequestFilter {

	private final AtMostOnceExecutor atMostOnceExecutor;

	public ClaimFilter(AtMostOnceExecutor atMostOnceExecutor) {
		this.atMostOnceExecutor = atMostOnceExecutor;
	}

	@Override
	public Outcome apply(RequestContext request, Function<RequestContext, Outcome> next) {
		if (!request.atMostOnce()) {
			return next.apply(request);
		}
		String key = Claim.storageKey(request.team().id(), request.key());
		return this.atMostOnceExecutor.runOnce(key, request.bodyDigest(), request.deadline(),
				() -> next.apply(request));
	}

}
