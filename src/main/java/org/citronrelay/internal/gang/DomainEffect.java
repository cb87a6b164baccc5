package org.citronrelay.internal.gang;

import java.util.List;
import java.util.Objects;

import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.platform.WorkerTasks.EndMode;
import org.citronrelay.internal.platform.WorkerTasks.Reservation;

/**
 * An action that the scheduler of a failure domain requests.
 */
public sealed interface DomainEffect {

	/**
	 * A command to the worker that runs one member of a gang.
	 */
	sealed interface Command extends DomainEffect {

		/**
		 * Returns the member that the command is for.
		 */
		MemberRef member();

	}

	/**
	 * Reserves capacity for a member.
	 *
	 * @param member the member
	 * @param reservation the resources to reserve, and the task that uses them
	 */
	record Reserve(MemberRef member, Reservation reservation) implements Command {
	}

	/**
	 * Starts a member.
	 *
	 * @param member the member
	 */
	record Start(MemberRef member) implements Command {
	}

	/**
	 * Ends a member.
	 *
	 * @param member the member
	 * @param mode whether the progress is saved first
	 */
	record End(MemberRef member, EndMode mode) implements Command {
	}

	/**
	 * Renews the leases of tasks on a worker and requests the reports on all its tasks.
	 *
	 * @param vm the id of the VM
	 * @param address the address of the VM
	 * @param tasks the ids of the tasks to renew
	 * @param leaseMs how long the renewed leases last, in milliseconds
	 * @param sentAt when the renewal was decided, in monotonic milliseconds
	 */
	record Renew(String vm, Address address, List<String> tasks, long leaseMs, long sentAt) implements DomainEffect {

		public Renew {
			tasks = List.copyOf(tasks);
		}

	}

	/**
	 * Stores a record if the stored one is at the expected revision.
	 *
	 * @param record the record
	 * @param revision the expected revision
	 */
	record Store(JobRecord record, long revision) implements DomainEffect {

		public Store {
			Objects.requireNonNull(record, "record");
		}

	}

	/**
	 * Reports that a job has started or is done, for the log and the reports.
	 *
	 * @param record the record of the job
	 * @param waitedMs how long the job waited before it started, in milliseconds
	 * @param tookMs the time from the acceptance of the job to its end, in milliseconds;
	 * -1 if the job has just started
	 */
	record ReportProgress(JobRecord record, long waitedMs, long tookMs) implements DomainEffect {
	}

	/**
	 * One member of one attempt of a job, with the VM that it is placed on.
	 *
	 * @param task the id of the member's task
	 * @param vm the id of the VM
	 * @param address the address of the VM
	 */
	record MemberRef(MemberTaskId task, String vm, Address address) {

		public MemberRef {
			Objects.requireNonNull(task, "task");
			Objects.requireNonNull(vm, "vm");
			Objects.requireNonNull(address, "address");
		}

	}

}
