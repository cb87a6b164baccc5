package org.citronrelay.internal.schedule;

import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.batch.VmReport;

/**
 * What the coordinator is to do outside.
 */
public sealed interface Effect {

	/**
	 * Tells a VM to start a run of a task.
	 *
	 * @param vm the VM
	 * @param task the task
	 * @param run the number of the run
	 * @param payload what to run
	 * @param checkpoint where to go on from, empty to begin
	 * @param leaseUntil when the lease ends, on the VM's clock in milliseconds
	 */
	record Start(VmReport vm, TaskId task, long run, String payload, String checkpoint,
			long leaseUntil) implements Effect {
	}

	/**
	 * Tells a VM to stop a run of a task.
	 *
	 * @param vm the VM
	 * @param task the task
	 * @param run the number of the run
	 */
	record Stop(VmReport vm, TaskId task, long run) implements Effect {
	}

	/**
	 * Renews the lease of a VM and asks what runs there.
	 *
	 * @param vm the VM
	 * @param leaseUntil when the lease ends, on the VM's clock in milliseconds; 0 leaves
	 * it as it is
	 * @param acknowledge the highest end that the VM may forget
	 * @param waitMs how long the VM may wait for an end before it answers, in
	 * milliseconds
	 */
	record Renew(VmReport vm, long leaseUntil, long acknowledge, long waitMs) implements Effect {
	}

	/**
	 * Writes down a decision for whoever looks for the cause of a failure.
	 *
	 * @param job the job that it touches, empty for none
	 * @param what the decision
	 * @param why the inputs that decided it
	 */
	record Note(String job, String what, String why) implements Effect {
	}

}
