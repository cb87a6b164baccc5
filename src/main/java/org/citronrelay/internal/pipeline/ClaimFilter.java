package org.citronrelay.internal.pipeline;

import java.util.function.Function;

import org.citronrelay.Outcome;
import org.citronrelay.internal.claim.Claim;
import org.citronrelay.internal.claim.ClaimDesk;

/**
 * Claims the key of a non-idempotent request before it is sent.
 */
public final class ClaimFilter implements RequestFilter {

	private final ClaimDesk desk;

	public ClaimFilter(ClaimDesk desk) {
		this.desk = desk;
	}

	@Override
	public Outcome apply(RequestContext request, Function<RequestContext, Outcome> next) {
		if (!request.once()) {
			return next.apply(request);
		}
		String key = Claim.storageKey(request.team().id(), request.key());
		return this.desk.runOnce(key, request.bodyDigest(), request.deadline(), () -> next.apply(request));
	}

}
