package org.citronrelay.internal.schedule;

import java.util.List;

/**
 * Progress of a job to store.
 *
 * @param job the job's id
 * @param document the encoded progress
 * @param revision the stored revision that it replaces, 0 for none
 * @param closing whether the job has ended and has no runs, so that none of its other
 * records is needed any more
 * @param after the actions to run once it is stored
 */
public record ProgressWrite(String job, byte[] document, long revision, boolean closing, List<Runnable> after) {

	/** The entries of a transaction that every write takes. */
	static final int LEAST_ENTRIES = 2;

	/**
	 * Returns how many entries of a transaction the write takes: an expectation, a value,
	 * and the removals of the job's record and of its cancellation.
	 */
	public int entries() {
		return this.closing ? LEAST_ENTRIES + 2 : LEAST_ENTRIES;
	}

}
