package org.citronrelay.internal.cluster;

/**
 * The outcome of submitting a job.
 */
public sealed interface Submission {

	/**
	 * The job is stored and will run, unless it has ended or was cancelled.
	 */
	record Accepted() implements Submission {
	}

	/**
	 * The id was cancelled before the job was stored; the job will not run.
	 */
	record Cancelled() implements Submission {
	}

	/**
	 * This submission stored nothing, and will not. An earlier one with the same id may
	 * have been accepted.
	 *
	 * @param reason why it was refused
	 * @param retryAfterMs how long to wait before submitting it again, in milliseconds
	 */
	record Refused(String reason, long retryAfterMs) implements Submission {
	}

	/**
	 * A different job is stored under the id; this one will not run.
	 *
	 * @param reason what is stored
	 */
	record IdTaken(String reason) implements Submission {
	}

	/**
	 * The job may be stored. Submitting it again with the same id is safe and settles it.
	 *
	 * @param reason the failure that was observed
	 */
	record Unknown(String reason) implements Submission {
	}

}
