package org.citronrelay.internal.platform;

import java.util.List;
import java.util.Objects;

import io.vavr.control.Either;
import org.citronrelay.internal.http.Address;

/**
 * The task interface of workers. Each command carries the epoch of the holder that sends
 * it. A worker refuses commands with an epoch older than the newest it has seen, so that
 * a former holder cannot change tasks.
 */
public interface WorkerTasks {

	/**
	 * Raises the newest epoch that the worker has seen to the given one, and returns all
	 * its tasks.
	 */
	Either<WorkerFailure, List<TaskReport>> fence(Address worker, long epoch);

	/**
	 * Reserves accelerators for a task without starting it.
	 */
	Either<WorkerFailure, TaskReport> reserve(Address worker, long epoch, Reservation reservation);

	/**
	 * Starts a reserved task.
	 */
	Either<WorkerFailure, TaskReport> start(Address worker, long epoch, String task);

	/**
	 * Renews the leases of the given tasks.
	 * @param leaseMs time after which the tasks end unless they are renewed again, in
	 * milliseconds
	 * @return all tasks of the worker
	 */
	Either<WorkerFailure, List<TaskReport>> renew(Address worker, long epoch, List<String> tasks, long leaseMs);

	/**
	 * Ends a task; the mode determines whether its progress is saved first.
	 */
	Either<WorkerFailure, TaskReport> end(Address worker, long epoch, String task, EndMode mode);

	/**
	 * Whether the progress of a task is saved when it is ended.
	 */
	enum EndMode {

		/** Ends the task at once; unsaved progress is lost. */
		STOP,
		/** Saves the progress of the task, then ends it. */
		CHECKPOINT

	}

	/**
	 * The resources that a task reserves on a worker, and what it runs there.
	 *
	 * @param task the id of the task, made of job, attempt and member
	 * @param firstAccelerator index of the first of its adjacent accelerators
	 * @param accelerators number of accelerators
	 * @param cores number of processor cores
	 * @param memoryGb memory, in gigabytes
	 * @param workMs the declared run time, in milliseconds
	 * @param doneMs the part of the run time that earlier attempts have saved, in
	 * milliseconds
	 * @param leaseMs time after which the reservation ends unless it is renewed, in
	 * milliseconds
	 * @param payload the text that tells the worker what to run
	 */
	record Reservation(String task, int firstAccelerator, int accelerators, int cores, int memoryGb, long workMs,
			long doneMs, long leaseMs, String payload) {

		public Reservation {
			Objects.requireNonNull(task, "task");
			Objects.requireNonNull(payload, "payload");
		}

	}

	/**
	 * The state of a task as reported by its worker.
	 *
	 * @param task the id of the task
	 * @param state its state
	 * @param doneMs the part of the run time whose progress is saved, in milliseconds
	 * @param answer the result of a finished task, else empty
	 */
	record TaskReport(String task, TaskState state, long doneMs, String answer) {

		public TaskReport {
			Objects.requireNonNull(task, "task");
			Objects.requireNonNull(state, "state");
			Objects.requireNonNull(answer, "answer");
		}

	}

	/**
	 * The states of a task on a worker.
	 */
	enum TaskState {

		/** Holds its accelerators and waits for the command to start. */
		RESERVED,
		/** Started and not ended yet. */
		RUNNING,
		/** Ended by itself with a result. */
		FINISHED,
		/** Ended by itself without a result. */
		FAILED,
		/** Ended by a command, after its progress was saved. */
		CHECKPOINTED,
		/**
		 * Ended by a command without saving its progress, or because its lease expired.
		 */
		STOPPED

	}

	/**
	 * Reason why a command to a worker failed.
	 */
	sealed interface WorkerFailure {

		/**
		 * The worker refused the command because it has seen a newer epoch.
		 *
		 * @param newest the newest epoch that the worker has seen
		 */
		record StaleEpoch(long newest) implements WorkerFailure {
		}

		/**
		 * The worker refused the command; it had no effect.
		 *
		 * @param reason the reason that the worker gave
		 */
		record Refused(String reason) implements WorkerFailure {

			public Refused {
				Objects.requireNonNull(reason, "reason");
			}

		}

		/**
		 * The worker could not be reached, or no usable answer arrived.
		 *
		 * @param reason the error or status that was received
		 * @param mayHaveTakenEffect whether the command may have taken effect
		 */
		record Unreachable(String reason, boolean mayHaveTakenEffect) implements WorkerFailure {

			public Unreachable {
				Objects.requireNonNull(reason, "reason");
			}

		}

	}

}
