package org.citronrelay.internal.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.citronrelay.internal.batch.QueueCatalogue.Team;

/**
 * The accelerators that the urgent jobs of each team request, compared with what the team
 * is guaranteed.
 */
final class TeamGuarantees {

	private final Map<String, Long> requested;

	private final Map<String, Team> teams;

	private TeamGuarantees(Map<String, Long> requested, Map<String, Team> teams) {
		this.requested = requested;
		this.teams = teams;
	}

	static TeamGuarantees of(Collection<JobState> jobs, Map<String, Team> teams) {
		Map<String, Long> requested = new HashMap<>();
		for (JobState job : jobs) {
			if (job.priority == 0 && !job.phase.ended()) {
				requested.merge(job.spec.team(), job.accelerators(), Long::sum);
			}
		}
		return new TeamGuarantees(requested, teams);
	}

	/**
	 * Whether a job is urgent and fits, together with all other urgent jobs of its team,
	 * into the team's guarantee.
	 */
	boolean covers(JobState job) {
		Team team = this.teams.get(job.spec.team());
		return job.priority == 0 && team != null
				&& this.requested.getOrDefault(job.spec.team(), 0L) <= team.guaranteed();
	}

}
