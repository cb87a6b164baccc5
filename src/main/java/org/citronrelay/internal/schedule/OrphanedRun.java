package org.citronrelay.internal.schedule;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.TaskId;

/**
 * A run that a VM lists, or may still be stopping, and that is not the recorded one.
 *
 * @param task the task
 * @param run the number of the run
 * @param capacity the capacity that it takes
 * @param listedSince when the VM first listed it as such, in monotonic milliseconds
 * @param unlistedAt when the VM was first known to list it no more, in monotonic
 * milliseconds; 0 while it lists it
 */
record OrphanedRun(TaskId task, long run, Resources capacity, long listedSince, long unlistedAt) {

	/**
	 * Returns the run as seen by an answer that does not list it.
	 */
	OrphanedRun unlisted(Moment now) {
		return (this.unlistedAt > 0) ? this
				: new OrphanedRun(this.task, this.run, this.capacity, this.listedSince, now.monotonicMs());
	}

	/**
	 * Whether the run has ended, as a VM that stops it need not list it meanwhile.
	 * @param askedAt when the VM was asked for its runs, in monotonic milliseconds
	 * @param stopGraceMs how long a VM may take to stop a run
	 */
	boolean endedBy(long askedAt, long stopGraceMs) {
		return this.unlistedAt > 0 && askedAt >= this.unlistedAt + stopGraceMs;
	}

}
