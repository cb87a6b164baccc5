package org.citronrelay.internal.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.citronrelay.internal.batch.QueueCatalogue.Team;

/**
 * Which teams ask for no more than they were promised.
 */
final class TeamGuarantees {

	private final Map<String, Long> requested;

	private final Map<String, Team> teams;

	private TeamGuarantees(Map<String, Long> asked, Map<String, Team> teams) {
		this.requested = asked;
		this.teams = teams;
	}

	static TeamGuarantees of(Collection<JobState> jobs, Map<String, Team> teams) {
		Map<String, Long> asked = new HashMap<>();
		for (JobState job : jobs) {
			if (job.priority == 0 && !job.phase.ended()) {
				asked.merge(job.spec.team(), job.accelerators(), Long::sum);
			}
		}
		return new TeamGuarantees(asked, teams);
	}

	/**
	 * Whether an urgent job and all others of its team fit into the team's guarantee.
	 */
	boolean covers(JobState job) {
		Team team = this.teams.get(job.spec.team());
		return job.priority == 0 && team != null
				&& this.requested.getOrDefault(job.spec.team(), 0L) <= team.guaranteed();
	}

}
