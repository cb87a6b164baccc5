package org.citronrelay.internal.batch;

import java.util.List;
import java.util.Objects;

/**
 * One step of a job: a number of tasks with the same resource needs.
 *
 * @param count the number of tasks, at least 1
 * @param taskResources the resources that one task needs
 * @param estimateMs the caller's estimate of how long one task takes, in milliseconds;
 * often wrong
 * @param after the numbers of earlier steps that must be done before this one starts
 * @param shape how the tasks relate to each other
 * @param limits where the tasks may run
 * @param checkpoints whether a task saves its progress, so that a later run resumes there
 */
public record Step(int count, Resources taskResources, long estimateMs, List<Integer> after, Shape shape, Limits limits,
		boolean checkpoints) {

	public Step {
		Objects.requireNonNull(taskResources, "taskResources");
		after = List.copyOf(after);
		if (count < 1) {
			throw new IllegalArgumentException("count must be at least 1");
		}
	}

	/**
	 * Whether the tasks are a gang: they start and end together.
	 */
	public boolean gang() {
		return this.shape.gang();
	}

	/**
	 * How the tasks of a step relate to each other.
	 *
	 * @param gang whether they run only if all of them run at the same time
	 * @param sameRack whether they run faster within one rack
	 * @param speculative whether copies of a task may run in parallel
	 * @param longRunning whether they run until the job is cancelled
	 */
	public record Shape(boolean gang, boolean sameRack, boolean speculative, boolean longRunning) {

		/** Independent tasks. */
		public static final Shape INDEPENDENT = new Shape(false, false, false, false);

	}

	/**
	 * Where the tasks of a step may run.
	 *
	 * @param label a label that the VM must have, empty for none
	 * @param dataRack the rack in which they run fastest, empty for none
	 * @param maxPerVm the largest number of tasks of the step on one VM, 0 for no limit
	 */
	public record Limits(String label, String dataRack, int maxPerVm) {

		/** No limits. */
		public static final Limits NONE = new Limits("", "", 0);

		public Limits {
			Objects.requireNonNull(label, "label");
			Objects.requireNonNull(dataRack, "dataRack");
		}

	}

}
