package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Chooses which jobs' progress is stored next. Not thread-safe.
 */
final class ProgressWrites {

	private final Map<String, JobState> jobs;

	/**
	 * Creates the choice for jobs.
	 * @param jobs the jobs by id, in the order in which they became known
	 */
	ProgressWrites(Map<String, JobState> jobs) {
		this.jobs = jobs;
	}

	/**
	 * Returns the progress to store next, within the limits.
	 */
	List<ProgressWrite> choose(WriteLimits limits) {
		List<ProgressWrite> chosen = new ArrayList<>();
		int entries = limits.entries();
		for (JobState job : this.jobs.values()) {
			if (!job.unstored || job.storing) {
				continue;
			}
			ProgressWrite write = write(job);
			if (write.entries() > entries) {
				break;
			}
			entries -= write.entries();
			job.unstored = false;
			job.storing = true;
			job.afterStore = new ArrayList<>();
			chosen.add(write);
		}
		return chosen;
	}

	/**
	 * Records that a write was stored.
	 */
	void stored(ProgressWrite write, long revision) {
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
		JobState job = this.jobs.get(write.job());
		if (job != null) {
			job.storing = false;
			job.revision = revision;
			job.unstored = true;
			job.afterStore.addAll(0, write.after());
		}
	}

	private static ProgressWrite write(JobState job) {
		boolean closing = job.phase.ended() && !job.occupiesCapacity();
		return new ProgressWrite(job.id(), ProgressCodec.encode(job), job.revision, closing, job.afterStore);
	}

}
