package org.citronrelay.internal.batch;

import java.util.Objects;

/**
 * Identifies one task of a job.
 *
 * @param job the job's id
 * @param occurrence the occurrence of the job, from 0
 * @param step the number of the step, from 0
 * @param index the number of the task within the step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {

	public TaskId {
		Objects.requireNonNull(job, "job");
		if (occurrence < 0 || step < 0 || index < 0) {
			throw new IllegalArgumentException(
					"task " + job + "/" + occurrence + "/" + step + "/" + index + " has a negative number");
		}
	}

	@Override
	public String toString() {
		return this.job + "/" + this.occurrence + "/" + this.step + "/" + this.index;
	}

}
