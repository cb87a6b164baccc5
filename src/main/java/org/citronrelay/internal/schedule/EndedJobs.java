package org.citronrelay.internal.schedule;

import java.util.LinkedHashMap;
import java.util.Map;

import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.JobDigest;

/**
 * The jobs that earlier coordinators have brought to their end. Only their progress is
 * still stored, until their retention time is over. Not thread-safe.
 */
final class EndedJobs {

	private final Map<String, Ended> jobs = new LinkedHashMap<>();

	/**
	 * Adds a job if its stored progress says that it has ended.
	 */
	void add(String id, byte[] document, long revision, Moment now) {
		ProgressCodec.Ending ending = ProgressCodec.ending(document);
		if (ending.phase().ended()) {
			this.jobs.put(id, new Ended(ending, revision, now.monotonicMs()));
		}
	}

	/**
	 * Whether a job is one that has ended. One that was submitted under the same id later
	 * is not; the ended one is forgotten then.
	 */
	boolean contains(BatchJob job) {
		Ended ended = this.jobs.get(job.id());
		if (ended == null) {
			return false;
		}
		boolean same = ended.ending().acceptedAtMs() == job.acceptedAtMs()
				&& ended.ending().digest().equals(JobDigest.of(job));
		if (!same) {
			this.jobs.remove(job.id());
		}
		return same;
	}

	/**
	 * Forgets a job whose progress was deleted.
	 * @param revision the revision of the progress that was deleted
	 */
	void forget(String id, long revision) {
		Ended ended = this.jobs.get(id);
		if (ended != null && ended.revision() == revision) {
			this.jobs.remove(id);
		}
	}

	/**
	 * Adds the jobs that ended before a point in time, with the revision of their
	 * progress, to others.
	 * @param before the point in time, in monotonic milliseconds
	 */
	void addEndedBefore(long before, Map<String, Long> revisions) {
		this.jobs.forEach((id, ended) -> {
			if (ended.endedAt() < before) {
				revisions.put(id, ended.revision());
			}
		});
	}

	void addPhases(Map<JobPhase, Integer> counts) {
		this.jobs.values().forEach((ended) -> counts.merge(ended.ending().phase(), 1, Integer::sum));
	}

	/**
	 * An ended job.
	 *
	 * @param ending what is stored of it
	 * @param revision the revision of the stored progress
	 * @param endedAt when it ended as far as known, in monotonic milliseconds
	 */
	private record Ended(ProgressCodec.Ending ending, long revision, long endedAt) {
	}

}
