package org.citronrelay.internal.batch;

import java.util.List;
import java.util.Objects;

/**
 * A job as a caller handed it in.
 *
 * @param id the id that the caller chose
 * @param queue the name of the queue
 * @param team the team that owns it, empty where the queue asks for none
 * @param payload what the tasks are given to run
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
	 * When the steps of a job run.
	 *
	 * @param firstAtMs when the first occurrence is due, in milliseconds since 1970
	 * @param everyMs the time between two occurrences, in milliseconds
	 * @param times how many occurrences, 0 for a job that runs once and at once
	 */
	public record Repeat(long firstAtMs, long everyMs, int times) {

		/** Once, at once. */
		public static final Repeat ONCE = new Repeat(0, 0, 0);

		/**
		 * The number of occurrences, 1 for a job that runs at once.
		 */
		public int occurrences() {
			return Math.max(1, this.times);
		}

		/**
		 * When an occurrence is due, in milliseconds since 1970; 0 for at once.
		 */
		public long dueAt(int occurrence) {
			return (this.times > 0) ? this.firstAtMs + occurrence * this.everyMs : 0;
		}

	}

}
