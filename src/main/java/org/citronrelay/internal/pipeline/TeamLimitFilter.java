package org.citronrelay.internal.pipeline;

import java.util.function.Function;
import java.util.function.IntSupplier;

import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;
import org.citronrelay.internal.admission.TeamLimiter;

/**
 * Rejects a request if its team already has as many requests in progress as its limit
 * allows. Each live entry process applies an equal share of the limit.
 */
public final class TeamLimitFilter implements RequestFilter {

	private static final long RETRY_AFTER_MS = 1_000;

	private final TeamLimiter limiter;

	private final IntSupplier liveEntries;

	/**
	 * Creates a filter.
	 * @param limiter counts the requests in progress
	 * @param liveEntries returns the number of live entry processes, this one included
	 */
	public TeamLimitFilter(TeamLimiter limiter, IntSupplier liveEntries) {
		this.limiter = limiter;
		this.liveEntries = liveEntries;
	}

	@Override
	public Outcome apply(RequestContext request, Function<RequestContext, Outcome> next) {
		String team = request.team().id();
		int limit = request.team().limits().requestsInProgress();
		if (!this.limiter.tryAcquire(team, limit, this.liveEntries.getAsInt())) {
			return new Outcome.NotRun(NotRunCause.TEAM_LIMIT, "team " + request.team().name()
					+ " has used up this entry process's share of its limit of " + limit + " requests in progress",
					RETRY_AFTER_MS);
		}
		try {
			return next.apply(request);
		}
		finally {
			this.limiter.release(team);
		}
	}

}
