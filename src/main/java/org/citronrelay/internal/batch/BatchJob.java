package org.citronrelay.internal.batch;

import java.util.List;
import java.util.Objects;

/**
 * A job as a caller submitted it.
 *
 * @param id the id that the caller chose
 * @param queue the name of the queue
 * @param team the team that owns it, empty if the queue requires none
 * @param payload what the tasks run, passed on to the VMs
 * @param steps the steps, in order
 * @param repeat when the steps run
 * @param acceptedAtMs when it was accepted, in milliseconds since 1970
 */
public record BatchJob(String id, String queue, String team, String payload, List<Step> steps, Repeat repeat,
		long acceptedAtMs) {

	public BatchJob {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(queue, "queue");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(payload, "payload");
		Objects.requireNonNull(repeat, "repeat");
		steps = List.copyOf(steps);
	}

	/**
	 * The schedule of a job: once and immediately, or several occurrences at a fixed
	 * interval.
	 *
	 * @param firstAtMs when the first occurrence is due, in milliseconds since 1970
	 * @param everyMs the time between two occurrences, in milliseconds
	 * @param times the number of occurrences, 0 for a job that runs once, immediately
	 */
	public record Repeat(long firstAtMs, long everyMs, int times) {

		/** Runs once, immediately. */
		public static final Repeat ONCE = new Repeat(0, 0, 0);

		/**
		 * Returns the number of occurrences, 1 for a job that runs immediately.
		 */
		public int occurrences() {
			return Math.max(1, this.times);
		}

		/**
		 * Returns when an occurrence is due, in milliseconds since 1970; 0 for
		 * immediately.
		 */
		public long dueAt(int occurrence) {
			return (this.times > 0) ? this.firstAtMs + occurrence * this.everyMs : 0;
		}

	}

}
