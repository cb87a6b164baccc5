package org.citronrelay.internal.pipeline;

import java.util.function.Function;

import org.citronrelay.Outcome;
import org.citronrelay.internal.claim.Claim;
import org.citronrelay.internal.claim.ClaimDesk;

/**
 * Answers a repeated key that this process knows, before it takes a slot.
 */
public final class KnownKeyFilter implements RequestFilter {

	private final ClaimDesk desk;

	public KnownKeyFilter(ClaimDesk desk) {
		this.desk = desk;
	}

	@Override
	public Outcome apply(RequestContext request, Function<RequestContext, Outcome> next) {
		if (!request.once()) {
			return next.apply(request);
		}
		String key = Claim.storageKey(request.team().id(), request.key());
		return this.desk.known(key, request.bodyDigest(), request.deadline()).getOrElse(() -> next.apply(request));
	}

}
