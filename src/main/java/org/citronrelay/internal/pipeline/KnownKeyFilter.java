package org.citronrelay.internal.pipeline;

import java.util.function.Function;

import org.citronrelay.Outcome;
import org.citronrelay.internal.claim.AtMostOnceExecutor;
import org.citronrelay.internal.claim.Claim;

/**
 * Answers a request whose idempotency key this process already knows with the outcome of
 * the key's earlier use, so that the request takes no slot.
 */
public final class KnownKeyFilter implements RequestFilter {

	private final AtMostOnceExecutor atMostOnceExecutor;

	public KnownKeyFilter(AtMostOnceExecutor atMostOnceExecutor) {
		this.atMostOnceExecutor = atMostOnceExecutor;
	}

	@Override
	public Outcome apply(RequestContext request, Function<RequestContext, Outcome> next) {
		if (!request.atMostOnce()) {
			return next.apply(request);
		}
		String key = Claim.storageKey(request.team().id(), request.key());
		return this.atMostOnceExecutor.knownOutcome(key, request.bodyDigest(), request.deadline())
			.getOrElse(() -> next.apply(request));
	}

}
