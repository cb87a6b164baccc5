package org.citronrelay;

import java.util.List;
import java.util.Objects;

/**
 * One entry of the catalogue. Every entry has an owner, a class and limits, and an id
 * that stays with it until it is deleted; an entry made again under an old name has a new
 * id.
 */
public sealed interface CatalogueEntry {

	/**
	 * The id, unique over all entries of all times.
	 */
	String id();

	/**
	 * The name, unique among the entries of its kind.
	 */
	String name();

	/**
	 * Who answers for the entry.
	 */
	String owner();

	/**
	 * The name of its class of service.
	 */
	String serviceClass();

	/**
	 * A class of service.
	 *
	 * @param id the id
	 * @param name the name, which is its class too
	 * @param owner who answers for it
	 * @param priority its rank, 0 goes first
	 * @param urgent whether its jobs may reclaim the team's own reclaimable work
	 * @param limits how long its requests may wait
	 * @param objective what counts as good service
	 */
	record ServiceClass(String id, String name, String owner, int priority, boolean urgent, ClassLimits limits,
			Objective objective) implements CatalogueEntry {

		public ServiceClass {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(limits, "limits");
			Objects.requireNonNull(objective, "objective");
		}

		@Override
		public String serviceClass() {
			return this.name;
		}

	}

	/**
	 * A team.
	 *
	 * @param id the id
	 * @param name the name
	 * @param owner who answers for it
	 * @param serviceClass the class of its work where a request or job names none
	 * @param limits what it may use at once
	 * @param tokenDigests the SHA-256 digests of its tokens, in lower-case hex
	 * @param guarantees what it can always have
	 */
	record Team(String id, String name, String owner, String serviceClass, TeamLimits limits, List<String> tokenDigests,
			List<Guarantee> guarantees) implements CatalogueEntry {

		public Team {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(limits, "limits");
			tokenDigests = List.copyOf(tokenDigests);
			guarantees = List.copyOf(guarantees);
		}

	}

	/**
	 * A request service of the backend servers.
	 *
	 * @param id the id
	 * @param name the name
	 * @param owner who answers for it
	 * @param serviceClass the class of its requests
	 * @param idempotent whether a request may be sent twice
	 * @param limits the bounds of a request
	 */
	record Service(String id, String name, String owner, String serviceClass, boolean idempotent,
			ServiceLimits limits) implements CatalogueEntry {

		public Service {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(limits, "limits");
		}

	}

	/**
	 * A kind of job.
	 *
	 * @param id the id
	 * @param name the name
	 * @param owner who answers for it
	 * @param serviceClass the class of its jobs
	 * @param idempotent whether a job may be run again when it is not known how it ended
	 * @param reclaim how its jobs give accelerators back
	 * @param limits the bounds of a job
	 */
	record JobKind(String id, String name, String owner, String serviceClass, boolean idempotent, Reclaim reclaim,
			JobLimits limits) implements CatalogueEntry {

		public JobKind {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(reclaim, "reclaim");
			Objects.requireNonNull(limits, "limits");
		}

	}

	/**
	 * The limits of a class.
	 *
	 * @param queueWaitMs how long a request may wait for a slot, in milliseconds
	 */
	record ClassLimits(int queueWaitMs) {
	}

	/**
	 * What counts as good service.
	 *
	 * @param goodShare the share of requests that must be good, below 1
	 * @param latencyMs the slowest good answer, in milliseconds
	 */
	record Objective(double goodShare, long latencyMs) {
	}

	/**
	 * The limits of a team.
	 *
	 * @param requestsInProgress requests in progress over all entry processes
	 * @param jobs jobs queued or running
	 * @param accelerators accelerators held in one failure domain
	 */
	record TeamLimits(int requestsInProgress, int jobs, int accelerators) {
	}

	/**
	 * The limits of a request service.
	 *
	 * @param bodyBytes the largest body
	 * @param answerBytes the largest answer
	 * @param deadlineMs the latest answer, in milliseconds
	 */
	record ServiceLimits(int bodyBytes, int answerBytes, int deadlineMs) {
	}

	/**
	 * The limits of a kind of job.
	 *
	 * @param members the most members
	 * @param runMs the longest declared run time, in milliseconds
	 * @param attempts how often a job is started at the most
	 */
	record JobLimits(int members, long runMs, int attempts) {
	}

}
