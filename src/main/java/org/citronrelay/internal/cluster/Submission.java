package org.citronrelay.internal.cluster;

/**
 * What became of a job that a caller handed in.
 */
public sealed interface Submission {

	/**
	 * It is stored and will run.
	 */
	record Accepted() implements Submission {
	}

	/**
	 * It is surely not stored and never runs.
	 *
	 * @param reason why not
	 * @param retryAfterMs when it may be handed in again, in milliseconds
	 */
	record Refused(String reason, long retryAfterMs) implements Submission {
	}

	/**
	 * It may be stored; handing it in again tells.
	 *
	 * @param reason what was seen
	 */
	record Unknown(String reason) implements Submission {
	}

}
