package org.citronrelay.internal.gang;

import java.util.List;
import java.util.Objects;

import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.platform.WorkerTasks.EndMode;
import org.citronrelay.internal.platform.WorkerTasks.Reservation;

/**
 * What the scheduler of a failure domain wants done.
 */
public sealed interface Effect {

	/**
	 * A command to the worker of one member.
	 */
	sealed interface Command extends Effect {

		/**
		 * The member.
		 */
		MemberRef member();

	}

	/**
	 * Reserves room for a member.
	 *
	 * @param member the member
	 * @param reservation what to reserve
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
	 * @param mode how
	 */
	record End(MemberRef member, EndMode mode) implements Command {
	}

	/**
	 * Renews the leases of tasks of a worker and asks for all its tasks.
	 *
	 * @param vm the id of the VM
	 * @param address its address
	 * @param tasks the tasks to renew
	 * @param leaseMs the new length of their leases, in milliseconds
	 * @param sentAt when it was decided, in monotonic milliseconds
	 */
	record Renew(String vm, Address address, List<String> tasks, long leaseMs, long sentAt) implements Effect {

		public Renew {
			tasks = List.copyOf(tasks);
		}

	}

	/**
	 * Stores a record if the stored one is at a revision.
	 *
	 * @param record the record
	 * @param revision the expected revision
	 */
	record Store(JobRecord record, long revision) implements Effect {

		public Store {
			Objects.requireNonNull(record, "record");
		}

	}

	/**
	 * Notes for the reports that a job started or ended.
	 *
	 * @param record the job
	 * @param waitedMs how long it waited until it started, in milliseconds
	 * @param tookMs how long it took from its acceptance to its end, in milliseconds; -1
	 * when it has just started
	 */
	record Note(JobRecord record, long waitedMs, long tookMs) implements Effect {
	}

	/**
	 * One member of one attempt of a job, and where it is.
	 *
	 * @param task the id of its task
	 * @param vm the id of its VM
	 * @param address the address of its VM
	 */
	record MemberRef(TaskId task, String vm, Address address) {

		public MemberRef {
			Objects.requireNonNull(task, "task");
			Objects.requireNonNull(vm, "vm");
			Objects.requireNonNull(address, "address");
		}

	}

}
