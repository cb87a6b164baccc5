package org.citronrelay.internal.schedule;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The cancellations that are stored, by job. One may be stored before its job, and then
 * keeps the job from being stored. Not thread-safe.
 */
final class CancelRequests {

	private final Map<String, Request> requests = new LinkedHashMap<>();

	/**
	 * Adds a request.
	 * @param revision the revision of its record, 0 if it is not known yet
	 */
	void add(String job, long revision, Moment now) {
		Request known = this.requests.get(job);
		if (known == null || known.revision() < revision) {
			this.requests.put(job, new Request(revision, (known != null) ? known.since() : now.monotonicMs()));
		}
	}

	boolean contains(String job) {
		return this.requests.containsKey(job);
	}

	void remove(String job) {
		this.requests.remove(job);
	}

	/**
	 * Removes a request if its record was removed.
	 * @param revision the revision of the record that was removed
	 */
	void forget(String job, long revision) {
		this.requests.computeIfPresent(job, (_, request) -> (request.revision() == revision) ? null : request);
	}

	/**
	 * Returns the requests without a job that became known before a point in time, with
	 * the revisions of their records.
	 * @param before the point in time, in monotonic milliseconds
	 */
	Map<String, Long> withoutJobBefore(long before, Predicate<String> jobKnown) {
		Map<String, Long> unused = new LinkedHashMap<>();
		this.requests.forEach((job, request) -> {
			if (request.since() < before && !jobKnown.test(job)) {
				unused.put(job, request.revision());
			}
		});
		return unused;
	}

	/**
	 * A request.
	 *
	 * @param revision the revision of its record, 0 if it is not known yet
	 * @param since when it became known, in monotonic milliseconds
	 */
	private record Request(long revision, long since) {
	}

}
