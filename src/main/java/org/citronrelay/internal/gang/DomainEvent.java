package org.citronrelay.internal.gang;

import java.util.List;
import java.util.Objects;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * What the scheduler of a failure domain is told.
 */
public sealed interface DomainEvent {

	/**
	 * A stored record was seen.
	 *
	 * @param record the record
	 * @param revision its revision
	 */
	record RecordSeen(JobRecord record, long revision) implements DomainEvent {

		public RecordSeen {
			Objects.requireNonNull(record, "record");
		}

	}

	/**
	 * The VM list was read.
	 *
	 * @param vms the VMs of the failure domain
	 */
	record FleetSeen(List<Vm> vms) implements DomainEvent {

		public FleetSeen {
			vms = List.copyOf(vms);
		}

	}

	/**
	 * A catalogue came in force.
	 *
	 * @param catalogue the catalogue
	 */
	record CatalogueSeen(Catalogue catalogue) implements DomainEvent {

		public CatalogueSeen {
			Objects.requireNonNull(catalogue, "catalogue");
		}

	}

	/**
	 * A worker answered a command for a member.
	 *
	 * @param command the command
	 * @param result the answer
	 */
	record Replied(Effect.Command command, Either<WorkerFailure, TaskReport> result) implements DomainEvent {

		public Replied {
			Objects.requireNonNull(command, "command");
			Objects.requireNonNull(result, "result");
		}

	}

	/**
	 * A worker answered a renewal.
	 *
	 * @param vm the id of the VM
	 * @param sentAt when the renewal was decided, in monotonic milliseconds
	 * @param result all tasks of the worker, or why there is no answer
	 */
	record Renewed(String vm, long sentAt, Either<WorkerFailure, List<TaskReport>> result) implements DomainEvent {

		public Renewed {
			Objects.requireNonNull(vm, "vm");
			Objects.requireNonNull(result, "result");
		}

	}

	/**
	 * A record was stored, or not.
	 *
	 * @param record the record that was to be stored
	 * @param result its revision, or why not
	 */
	record Stored(JobRecord record, StoreResult result) implements DomainEvent {

		public Stored {
			Objects.requireNonNull(record, "record");
			Objects.requireNonNull(result, "result");
		}

	}

	/**
	 * Time has passed.
	 */
	record Tick() implements DomainEvent {
	}

	/**
	 * What became of storing a record.
	 */
	sealed interface StoreResult {

		/**
		 * It is stored.
		 *
		 * @param revision its revision
		 */
		record Done(long revision) implements StoreResult {
		}

		/**
		 * Another record stands there; it was not stored.
		 *
		 * @param current the other record, nothing when it was deleted
		 * @param revision the revision of the other record
		 */
		record Conflict(Option<JobRecord> current, long revision) implements StoreResult {
		}

		/**
		 * The key-value service did not answer.
		 *
		 * @param reason what was seen
		 */
		record Unavailable(String reason) implements StoreResult {
		}

	}

}
