package org.citronrelay.internal.platform;

import java.util.List;
import java.util.Objects;

import io.vavr.control.Either;
import org.citronrelay.internal.http.Address;

/**
 * The task interface of a worker. Each command carries the epoch of the holder; a worker
 * refuses an epoch older than the newest it has seen.
 */
public interface WorkerTasks {

	/**
	 * Raises the worker's epoch and lists its tasks.
	 */
	Either<WorkerFailure, List<TaskReport>> fence(Address worker, long epoch);

	/**
	 * Reserves accelerators for a task; nothing runs yet.
	 */
	Either<WorkerFailure, TaskReport> reserve(Address worker, long epoch, Reservation reservation);

	/**
	 * Starts a reserved task.
	 */
	Either<WorkerFailure, TaskReport> start(Address worker, long epoch, String task);

	/**
	 * Renews the leases of tasks and lists all tasks of the worker.
	 */
	Either<WorkerFailure, List<TaskReport>> renew(Address worker, long epoch, List<String> tasks, long leaseMs);

	/**
	 * Ends a task.
	 */
	Either<WorkerFailure, TaskReport> end(Address worker, long epoch, String task, EndMode mode);

	/**
	 * How a task is to be ended.
	 */
	enum EndMode {

		/** At once; progress is lost. */
		STOP,
		/** After its progress was saved. */
		CHECKPOINT

	}

	/**
	 * What a task needs on one worker.
	 *
	 * @param task the id of the task: job, attempt and member
	 * @param firstAccelerator the first of its adjacent accelerators
	 * @param accelerators how many accelerators
	 * @param cores how many cores
	 * @param memoryGb how much memory, in gigabytes
	 * @param workMs the declared run time, in milliseconds
	 * @param doneMs the progress of an earlier attempt, in milliseconds
	 * @param leaseMs how long the reservation lives without renewal, in milliseconds
	 * @param payload what to run
	 */
	record Reservation(String task, int firstAccelerator, int accelerators, int cores, int memoryGb, long workMs,
			long doneMs, long leaseMs, String payload) {

		public Reservation {
			Objects.requireNonNull(task, "task");
			Objects.requireNonNull(payload, "payload");
		}

	}

	/**
	 * What a worker says of one task.
	 *
	 * @param task the id of the task
	 * @param state its state
	 * @param doneMs the progress that is saved, in milliseconds
	 * @param answer its answer once it has finished, else empty
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

		/** Holds its accelerators behind the start barrier. */
		RESERVED,
		/** Runs. */
		RUNNING,
		/** Ended by itself with an answer. */
		FINISHED,
		/** Ended by itself without an answer. */
		FAILED,
		/** Ended with its progress saved. */
		CHECKPOINTED,
		/** Ended by a command or with its lease. */
		STOPPED

	}

	/**
	 * Why a command to a worker gave no result.
	 */
	sealed interface WorkerFailure {

		/**
		 * The worker has seen a newer epoch.
		 *
		 * @param newest the newest epoch that it has seen
		 */
		record StaleEpoch(long newest) implements WorkerFailure {
		}

		/**
		 * The worker said no; the command had no effect.
		 *
		 * @param reason why
		 */
		record Refused(String reason) implements WorkerFailure {

			public Refused {
				Objects.requireNonNull(reason, "reason");
			}

		}

		/**
		 * The worker was not reached, or its answer was not heard.
		 *
		 * @param reason what was seen
		 * @param maybeDone whether the command may have had its effect
		 */
		record Unreachable(String reason, boolean maybeDone) implements WorkerFailure {

			public Unreachable {
				Objects.requireNonNull(reason, "reason");
			}

		}

	}

}
