package org.citronrelay.internal.schedule;

import java.util.List;

import org.citronrelay.internal.batch.TaskId;

/**
 * What a VM lists when its lease is renewed.
 *
 * @param boot tells one start of the VM from the next
 * @param clockMs the VM's own clock, in milliseconds
 * @param running what runs
 * @param ended what has ended and was not acknowledged yet
 */
public record VmAnswer(long boot, long clockMs, List<Running> running, List<Ended> ended) {

	public VmAnswer {
		running = List.copyOf(running);
		ended = List.copyOf(ended);
	}

	/**
	 * A run that goes on.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param checkpoint the newest progress that is saved, empty for none
	 * @param percent how far it is
	 */
	public record Running(TaskId task, long run, String checkpoint, int percent) {
	}

	/**
	 * A run that has ended.
	 *
	 * @param number the number of the end on this boot of the VM
	 * @param task the task
	 * @param run the number of the run
	 * @param how how it ended
	 * @param checkpoint the newest progress that is saved, empty for none
	 */
	public record Ended(long number, TaskId task, long run, How how, String checkpoint) {
	}

	/**
	 * How a run ended.
	 */
	public enum How {

		/** It did its work. */
		DONE,
		/** It failed, by its own fault or the VM's. */
		FAILED,
		/** It was stopped by an order. */
		STOPPED,
		/** Its lease ran out. */
		LAPSED,
		/** Another member of the gang ended. */
		BROKEN,
		/** It waited too long for the other members of its gang. */
		ALONE

	}

}
