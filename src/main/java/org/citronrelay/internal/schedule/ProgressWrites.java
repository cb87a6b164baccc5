package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Chooses which jobs' progress is stored next. Jobs take turns, so that some large jobs
 * that change all the time do not keep the others from being stored. Not thread-safe.
 */
final class ProgressWrites {

	private final Map<String, JobState> jobs;

	/** The job with which the next choice begins, empty for the first one. */
	private String next = "";

	/**
	 * Whether the last write failed; one job may be the cause, so the next is stored
	 * alone.
	 */
	private boolean failed;

	/**
	 * Creates the choice for jobs.
	 * @param jobs the jobs by id, in the order in which they became known
	 */
	ProgressWrites(Map<String, JobState> jobs) {
		this.jobs = jobs;
	}

	/**
	 * Returns the progress to store next. The first job is stored whatever its size;
	 * others join it while they are within the limits, unless the last write failed.
	 */
	List<ProgressWrite> choose(WriteLimits limits) {
		List<JobState> unstored = unstoredInTurn();
		List<ProgressWrite> chosen = new ArrayList<>();
		String firstLeftOut = "";
		int entries = limits.entries();
		int bytes = limits.bytes();
		for (JobState job : unstored) {
			ProgressWrite write = write(job);
			boolean first = chosen.isEmpty();
			boolean fits = first || (!this.failed && write.document().length <= bytes);
			if (write.entries() > entries || !fits) {
				firstLeftOut = firstLeftOut.isEmpty() ? job.id() : firstLeftOut;
				if (entries < ProgressWrite.LEAST_ENTRIES) {
					break;
				}
				continue;
			}
			entries -= write.entries();
			bytes -= first ? 0 : write.document().length;
			job.unstored = false;
			job.storing = true;
			job.afterStore = new ArrayList<>();
			chosen.add(write);
		}
		this.next = firstLeftOut;
		return chosen;
	}

	/**
	 * Records that a write was stored.
	 */
	void stored(ProgressWrite write, long revision) {
		this.failed = false;
		JobState job = this.jobs.get(write.job());
		if (job != null) {
			job.storing = false;
			job.revision = revision;
			write.after().forEach(Runnable::run);
		}
	}

	/**
	 * Records that a write was not stored, so that the progress is written again.
	 */
	void notStored(ProgressWrite write, long revision) {
		this.failed = true;
		JobState job = this.jobs.get(write.job());
		if (job != null) {
			job.storing = false;
			job.revision = revision;
			job.unstored = true;
			job.afterStore.addAll(0, write.after());
		}
	}

	/**
	 * Returns the jobs with progress to store, beginning with the first one that was left
	 * out before.
	 */
	private List<JobState> unstoredInTurn() {
		List<JobState> unstored = new ArrayList<>();
		List<JobState> before = new ArrayList<>();
		boolean found = !this.jobs.containsKey(this.next);
		for (JobState job : this.jobs.values()) {
			found |= job.id().equals(this.next);
			if (job.unstored && !job.storing) {
				(found ? unstored : before).add(job);
			}
		}
		unstored.addAll(before);
		return unstored;
	}

	private static ProgressWrite write(JobState job) {
		boolean closing = job.phase.ended() && !job.occupiesCapacity();
		return new ProgressWrite(job.id(), ProgressCodec.encode(job), job.revision, closing, job.afterStore);
	}

}
