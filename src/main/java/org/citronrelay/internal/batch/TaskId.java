package org.citronrelay.internal.batch;

/**
 * Names one task of a job.
 *
 * @param job the job's id
 * @param occurrence which occurrence of the job, from 0
 * @param step which step, from 0
 * @param index which task of the step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {

	@Override
	public String toString() {
		return this.job + "/" + this.occurrence + "/" + this.step + "/" + this.index;
	}

}
