package org.citronrelay.internal.pipeline;

import java.util.function.Function;
import java.util.function.IntSupplier;

import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;
import org.citronrelay.internal.admission.TeamGate;

/**
 * Turns away requests of a team that is at its limit.
 */
public final class TeamLimitFilter implements RequestFilter {

	private static final long RETRY_AFTER_MS = 1_000;

	private final TeamGate gate;

	private final IntSupplier entries;

	public TeamLimitFilter(TeamGate gate, IntSupplier entries) {
		this.gate = gate;
		this.entries = entries;
	}

	@Override
	public Outcome apply(RequestContext request, Function<RequestContext, Outcome> next) {
		String team = request.team().id();
		int limit = request.team().limits().requestsInProgress();
		if (!this.gate.tryEnter(team, limit, this.entries.getAsInt())) {
			return new Outcome.NotRun(NotRunCause.TEAM_LIMIT,
					"team " + request.team().name() + " has " + limit + " requests in progress", RETRY_AFTER_MS);
		}
		try {
			return next.apply(request);
		}
		finally {
			this.gate.leave(team);
		}
	}

}
