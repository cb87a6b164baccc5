package org.citronrelay;

import java.util.List;
import java.util.Objects;

/**
 * An entry of the catalogue. Every entry has an owner, a class of service and limits. It
 * also has an id, which it keeps until it is deleted; an entry created again under the
 * name of a deleted one has a new id.
 */
public sealed interface CatalogueEntry {

	/**
	 * Returns the id, which is never used for another entry.
	 */
	String id();

	/**
	 * Returns the name, unique among the entries of the same kind.
	 */
	String name();

	/**
	 * Returns the person or group responsible for the entry.
	 */
	String owner();

	/**
	 * Returns the name of the class of service.
	 */
	String serviceClass();

	/**
	 * A class of service.
	 *
	 * @param id the id
	 * @param name the name, which is also returned as its class of service
	 * @param owner the person or group responsible for it
	 * @param priority the priority from 0 to 99; 0 is served first
	 * @param urgent whether its jobs may reclaim accelerators from reclaimable jobs of
	 * the same team
	 * @param limits how long its requests may wait
	 * @param objective the service-level objective
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
	 * @param owner the person or group responsible for it
	 * @param serviceClass the class of requests and jobs that name none
	 * @param limits the most that it may use at a time
	 * @param tokenDigests the SHA-256 digests of its tokens, in lower-case hex
	 * @param guarantees the capacity that is available to it at any time
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
	 * @param owner the person or group responsible for it
	 * @param serviceClass the class of its requests
	 * @param idempotent whether a request may be sent to a backend server more than once
	 * @param limits the limits of a request
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
	 * @param owner the person or group responsible for it
	 * @param serviceClass the class of its jobs
	 * @param idempotent whether a job may be run again if it is not known whether it
	 * completed
	 * @param reclaim how accelerators are reclaimed from its jobs
	 * @param limits the limits of a job
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
	 * The limits of a class of service.
	 *
	 * @param queueWaitMs how long a request may wait for a slot, in milliseconds
	 */
	record ClassLimits(int queueWaitMs) {
	}

	/**
	 * The service-level objective of a class.
	 *
	 * @param goodShare the share of requests or jobs that must be good, from 0.5 to
	 * 0.99999
	 * @param latencyMs the longest latency that counts as good, in milliseconds
	 */
	record Objective(double goodShare, long latencyMs) {
	}

	/**
	 * The limits of a team.
	 *
	 * @param requestsInProgress the most requests in progress, over all entry processes
	 * @param jobs the most jobs queued or running
	 * @param accelerators the most accelerators in use in one failure domain
	 */
	record TeamLimits(int requestsInProgress, int jobs, int accelerators) {
	}

	/**
	 * The limits of a request service.
	 *
	 * @param bodyBytes the largest request body, in bytes
	 * @param answerBytes the largest answer body, in bytes
	 * @param deadlineMs the longest time until the answer, in milliseconds
	 */
	record ServiceLimits(int bodyBytes, int answerBytes, int deadlineMs) {
	}

	/**
	 * The limits of a kind of job.
	 *
	 * @param members the most members of a gang
	 * @param runMs the longest declared run time, in milliseconds
	 * @param attempts the most attempts to run a job
	 */
	record JobLimits(int members, long runMs, int attempts) {
	}

}
