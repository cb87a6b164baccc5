package org.citronrelay.internal.batch;

import java.util.Objects;

/**
 * What operators set for one queue.
 *
 * @param name the queue's name
 * @param pool the pool of VMs that runs its tasks
 * @param priority 0 comes first
 * @param maxAttempts how many runs of a task may fail before the job has failed
 * @param slack how many times its own length a job may take
 * @param objectiveMs what is added to that, in milliseconds
 */
public record Queue(String name, String pool, int priority, int maxAttempts, double slack, long objectiveMs) {

	public Queue {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(pool, "pool");
	}

}
