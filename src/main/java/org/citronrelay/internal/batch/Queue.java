package org.citronrelay.internal.batch;

import java.util.Objects;

/**
 * The settings of one queue, as operators defined them.
 *
 * @param name the queue's name
 * @param pool the pool of VMs that runs its tasks
 * @param priority the priority of its jobs, 0 for the highest
 * @param maxAttempts how many runs of a task may fail before the job fails
 * @param slack the factor that turns the estimated length of a job into its time
 * objective
 * @param objectiveMs a constant that is added to that product, in milliseconds
 */
public record Queue(String name, String pool, int priority, int maxAttempts, double slack, long objectiveMs) {

	public Queue {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(pool, "pool");
	}

}
