package org.citronrelay.internal.batch;

import java.util.List;
import java.util.Objects;

/**
 * One step of a job: tasks of equal needs.
 *
 * @param count how many tasks
 * @param each what one task needs
 * @param estimateMs how long one task is said to take, in milliseconds; often wrong
 * @param after the earlier steps that must be done first
 * @param shape how the tasks belong together
 * @param limits where the tasks may run
 * @param checkpoints whether a task saves its progress
 */
public record Step(int count, Resources each, long estimateMs, List<Integer> after, Shape shape, Limits limits,
		boolean checkpoints) {

	public Step {
		Objects.requireNonNull(each, "each");
		after = List.copyOf(after);
		if (count < 1) {
			throw new IllegalArgumentException("count must be at least 1");
		}
	}

	/**
	 * Whether the tasks start and end together.
	 */
	public boolean gang() {
		return this.shape.gang();
	}

	/**
	 * How the tasks of a step belong together.
	 *
	 * @param gang whether they run only all at once
	 * @param sameRack whether they are slower when spread over racks
	 * @param speculative whether copies of a task may run in parallel
	 * @param lasting whether they run until the job is cancelled
	 */
	public record Shape(boolean gang, boolean sameRack, boolean speculative, boolean lasting) {

		/** Independent tasks. */
		public static final Shape INDEPENDENT = new Shape(false, false, false, false);

	}

	/**
	 * Where the tasks of a step may run.
	 *
	 * @param label a label that the VM must have, empty for none
	 * @param dataRack the rack in which they are fastest, empty for none
	 * @param mostPerVm the most tasks of the step on one VM, 0 for any number
	 */
	public record Limits(String label, String dataRack, int mostPerVm) {

		/** No limits. */
		public static final Limits NONE = new Limits("", "", 0);

		public Limits {
			Objects.requireNonNull(label, "label");
			Objects.requireNonNull(dataRack, "dataRack");
		}

	}

}
