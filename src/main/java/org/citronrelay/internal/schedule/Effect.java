package org.citronrelay.internal.schedule;

import java.util.Set;

import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.batch.VmRegistration;

/**
 * An action that the scheduler has decided on and the coordinator carries out.
 */
public sealed interface Effect {

	/**
	 * Tells a VM to start a run of a task.
	 *
	 * @param vm the VM
	 * @param task the task
	 * @param run the number of the run
	 * @param payload the payload of the job
	 * @param checkpoint the checkpoint to resume from, empty to start from the beginning
	 * @param leaseUntil when the lease ends, in milliseconds on the VM's clock
	 */
	record Start(VmRegistration vm, TaskId task, long run, String payload, String checkpoint,
			long leaseUntil) implements Effect {
	}

	/**
	 * Tells a VM to stop a run of a task.
	 *
	 * @param vm the VM
	 * @param task the task
	 * @param run the number of the run
	 */
	record Stop(VmRegistration vm, TaskId task, long run) implements Effect {
	}

	/**
	 * Renews the lease of a VM and requests the list of its runs.
	 *
	 * @param vm the VM
	 * @param leaseUntil when the lease ends, in milliseconds on the VM's clock; 0 leaves
	 * the lease unchanged
	 * @param acknowledge the highest end number that the VM may discard
	 * @param waitMs how long the VM may wait for a run to end before it answers, in
	 * milliseconds
	 * @param issuedAt when the renewal was decided on, in monotonic milliseconds
	 */
	record Renew(VmRegistration vm, long leaseUntil, long acknowledge, long waitMs, long issuedAt) implements Effect {

		/**
		 * Returns a renewal that only asks for the runs of the VM.
		 */
		public Renew askingOnly() {
			return new Renew(this.vm, 0, 0, this.waitMs, this.issuedAt);
		}

	}

	/**
	 * Reports a crash of a VM.
	 *
	 * @param vm the VM
	 * @param teams the teams of the tasks that may have caused it; empty if it ran none
	 * @param reason how the crash became known, and the runs that were lost
	 */
	record VmCrashed(String vm, Set<String> teams, String reason) implements Effect {

		public VmCrashed {
			teams = Set.copyOf(teams);
		}

	}

	/**
	 * Reports that a job has failed because VMs crash under one of its tasks.
	 *
	 * @param job the job's id
	 * @param team its team
	 * @param reason the task and the crashes
	 */
	record GivenUp(String job, String team, String reason) implements Effect {
	}

	/**
	 * Reports that a task which had a run before is started again.
	 *
	 * @param task the task
	 * @param run the number of the new run
	 * @param vm the VM that is told to start it
	 * @param boot the boot of that VM
	 * @param previous the run before, with the evidence that it is over
	 * @param evidenceAgeMs how old that evidence is, in milliseconds;
	 * {@link RunOver#UNKNOWN} if an earlier coordinator established it
	 */
	record StartedAgain(TaskId task, long run, String vm, long boot, RunOver previous,
			long evidenceAgeMs) implements Effect {
	}

	/**
	 * Reports two runs of a task that are known to run at the same time.
	 *
	 * @param task the task
	 * @param orphaned the run that its VM lists although it is not the recorded one
	 * @param recorded the recorded run
	 * @param over on what evidence the orphaned run counted as over
	 * @param evidenceAgeMs how old that evidence is, in milliseconds;
	 * {@link RunOver#UNKNOWN} if this coordinator did not establish it
	 */
	record RunsOverlap(TaskId task, RunSighting orphaned, RunSighting recorded, RunOver over,
			long evidenceAgeMs) implements Effect {
	}

	/**
	 * Reports that a run has succeeded after its task was placed again.
	 *
	 * @param task the task
	 * @param done the run that has succeeded
	 * @param recorded the recorded run
	 * @param over on what evidence the run that has succeeded counted as over
	 * @param evidenceAgeMs how old that evidence is, in milliseconds;
	 * {@link RunOver#UNKNOWN} if this coordinator did not establish it
	 */
	record SupersededRunDone(TaskId task, RunSighting done, RunSighting recorded, RunOver over,
			long evidenceAgeMs) implements Effect {
	}

	/**
	 * Logs a decision with its inputs, for the analysis of failures.
	 *
	 * @param job the id of the job that it concerns, empty for none
	 * @param decision the decision, which is the message of the log line
	 * @param reason the inputs of the decision
	 */
	record Note(String job, String decision, String reason) implements Effect {
	}

}
