package org.citronrelay.internal.schedule;

import java.util.List;

import org.citronrelay.internal.batch.TaskId;

/**
 * The answer of a VM to a renewal of its lease.
 *
 * @param boot the boot of the VM; each boot has a higher number than the previous one
 * @param clockMs the VM's clock, in milliseconds
 * @param running the runs in progress
 * @param ended the runs that have ended and were not acknowledged yet, the earliest first
 * @param moreEnds whether there may be further ends, which the VM lists once these are
 * acknowledged
 */
public record VmAnswer(long boot, long clockMs, List<Running> running, List<Ended> ended, boolean moreEnds) {

	public VmAnswer {
		running = List.copyOf(running);
		ended = List.copyOf(ended);
	}

	/**
	 * Whether the VM runs a run, or has run it and reports its end.
	 */
	boolean lists(TaskId task, long run) {
		return this.running.stream().anyMatch((row) -> row.run() == run && row.task().equals(task))
				|| this.ended.stream().anyMatch((row) -> row.run() == run && row.task().equals(task));
	}

	/**
	 * A run in progress.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param checkpoint the newest checkpoint, empty for none
	 * @param percent the progress of the run, in percent
	 */
	public record Running(TaskId task, long run, String checkpoint, int percent) {
	}

	/**
	 * A run that has ended.
	 *
	 * @param number the number of this end, which increases within a boot
	 * @param task the task
	 * @param run the number of the run
	 * @param reason how it ended
	 * @param checkpoint the newest checkpoint, empty for none
	 */
	public record Ended(long number, TaskId task, long run, EndReason reason, String checkpoint) {
	}

	/**
	 * How a run ended.
	 */
	public enum EndReason {

		/** It completed its work. */
		DONE,
		/** It failed, through its own fault or the VM's. */
		FAILED,
		/** A stop command ended it. */
		STOPPED,
		/** The lease of the VM lapsed. */
		LAPSED,
		/** Another member of its gang ended. */
		BROKEN,
		/** It waited too long for the other members of its gang. */
		ALONE

	}

}
