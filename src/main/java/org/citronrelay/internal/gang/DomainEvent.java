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
 * An input of the scheduler of a failure domain.
 */
public sealed interface DomainEvent {

	/**
	 * A stored job record was read or was reported by a peer.
	 *
	 * @param record the record
	 * @param revision the revision of the stored record
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
	record VmListRead(List<Vm> vms) implements DomainEvent {

		public VmListRead {
			vms = List.copyOf(vms);
		}

	}

	/**
	 * A catalogue version came into force.
	 *
	 * @param catalogue the catalogue in force
	 */
	record CatalogueApplied(Catalogue catalogue) implements DomainEvent {

		public CatalogueApplied {
			Objects.requireNonNull(catalogue, "catalogue");
		}

	}

	/**
	 * The call for a command to a worker has completed.
	 *
	 * @param command the command
	 * @param result the report on the member's task, or why the command failed
	 */
	record CommandCompleted(DomainEffect.Command command,
			Either<WorkerFailure, TaskReport> result) implements DomainEvent {

		public CommandCompleted {
			Objects.requireNonNull(command, "command");
			Objects.requireNonNull(result, "result");
		}

	}

	/**
	 * The call that renews the leases on a worker has completed. A fence call at a
	 * takeover is reported in the same way.
	 *
	 * @param vm the id of the VM
	 * @param sentAt when the renewal was decided, in monotonic milliseconds
	 * @param result the reports on all tasks of the worker, or why the call failed
	 */
	record RenewalCompleted(String vm, long sentAt,
			Either<WorkerFailure, List<TaskReport>> result) implements DomainEvent {

		public RenewalCompleted {
			Objects.requireNonNull(vm, "vm");
			Objects.requireNonNull(result, "result");
		}

	}

	/**
	 * The attempt to store a record has completed.
	 *
	 * @param record the record that was to be stored
	 * @param result the new revision, or why the record was not stored
	 */
	record StoreCompleted(JobRecord record, StoreResult result) implements DomainEvent {

		public StoreCompleted {
			Objects.requireNonNull(record, "record");
			Objects.requireNonNull(result, "result");
		}

	}

	/**
	 * A periodic event: renewals that are due are sent, deadlines are checked and the
	 * queued jobs are tried again.
	 */
	record Tick() implements DomainEvent {
	}

	/**
	 * The result of storing a record.
	 */
	sealed interface StoreResult {

		/**
		 * The record is stored.
		 *
		 * @param revision the new revision of the stored record
		 */
		record Done(long revision) implements StoreResult {
		}

		/**
		 * The record was not stored, because the stored one is not at the expected
		 * revision.
		 *
		 * @param current the stored record, or nothing if it was deleted
		 * @param revision the revision of the stored record
		 */
		record Conflict(Option<JobRecord> current, long revision) implements StoreResult {
		}

		/**
		 * The key-value service did not confirm the write; the record may or may not be
		 * stored.
		 *
		 * @param reason the failure, as text for logs and records
		 */
		record Unavailable(String reason) implements StoreResult {
		}

	}

}
