package org.citronrelay.internal.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.citronrelay.internal.platform.WorkerTasks.Reservation;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.TaskState;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure.Refused;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure.StaleEpoch;

/**
 * The tasks of one stand-in worker, with their reservations, leases and progress. Calls
 * with an epoch older than the newest one seen fail with {@link StaleEpoch}. All times
 * are monotonic milliseconds; the state of the tasks is brought up to date at each call.
 * Thread-safe.
 */
public final class TaskTable {

	/** How long an ended task is still reported. */
	private static final long ENDED_TASK_RETENTION_MS = 60_000;

	private final Map<String, Task> tasks = new LinkedHashMap<>();

	private final RunLog log;

	private final int accelerators;

	private final double timeScale;

	private long epoch;

	/**
	 * Creates the table.
	 * @param accelerators the number of accelerators of the VM
	 * @param timeScale the actual run time of tasks divided by the declared one
	 * @param log receives an event for each change of a task
	 */
	public TaskTable(int accelerators, double timeScale, RunLog log) {
		this.accelerators = accelerators;
		this.timeScale = timeScale;
		this.log = log;
	}

	/**
	 * Refuses calls with older epochs from now on.
	 * @return all tasks, those ended in the last minute included
	 */
	public synchronized Either<WorkerFailure, List<TaskReport>> fence(long newEpoch, long now) {
		return checkEpoch(newEpoch, now).map((acceptedEpoch) -> reports());
	}

	/**
	 * Reserves accelerators for a task. A task that is already known is returned
	 * unchanged, so that a repeated call has no effect.
	 * @param draining whether the worker refuses new tasks
	 */
	public synchronized Either<WorkerFailure, TaskReport> reserve(long holderEpoch, Reservation requested,
			boolean draining, long now) {
		return checkEpoch(holderEpoch, now).flatMap((acceptedEpoch) -> {
			Task known = this.tasks.get(requested.task());
			if (known != null) {
				return Either.right(known.report());
			}
			if (draining) {
				return Either.left(new Refused("leaving"));
			}
			if (requested.firstAccelerator() + requested.accelerators() > this.accelerators || overlaps(requested)) {
				return Either.left(new Refused("accelerators are taken"));
			}
			Task task = new Task(requested, now + requested.leaseMs());
			this.tasks.put(requested.task(), task);
			this.log.add("task-reserve", requested.task(), now);
			return Either.right(task.report());
		});
	}

	/**
	 * Starts a reserved task; has no effect on a task in another state.
	 * @param failsAll whether the task fails immediately
	 */
	public synchronized Either<WorkerFailure, TaskReport> start(long holderEpoch, String id, boolean failsAll,
			long now) {
		return checkEpoch(holderEpoch, now).flatMap((acceptedEpoch) -> {
			Task task = this.tasks.get(id);
			if (task == null) {
				return Either.left(new Refused("no such task"));
			}
			if (task.state == TaskState.RESERVED) {
				task.state = TaskState.RUNNING;
				task.startedAtMs = now;
				task.failing = failsAll;
				this.log.add("task-start", id, now);
			}
			return Either.right(task.report());
		});
	}

	/**
	 * Extends the leases of live tasks to {@code leaseMs} from now; ignores other tasks.
	 * @return all tasks, those ended in the last minute included
	 */
	public synchronized Either<WorkerFailure, List<TaskReport>> renew(long holderEpoch, List<String> ids, long leaseMs,
			long now) {
		return checkEpoch(holderEpoch, now).map((acceptedEpoch) -> {
			ids.stream()
				.map(this.tasks::get)
				.filter((task) -> task != null && task.isLive())
				.forEach((task) -> task.leaseUntilMs = now + leaseMs);
			return reports();
		});
	}

	/**
	 * Stops a task. A task that is not known is recorded as stopped, so that a
	 * reservation which arrives later cannot start it.
	 * @param checkpoint whether to save the progress of a running task
	 */
	public synchronized Either<WorkerFailure, TaskReport> end(long holderEpoch, String id, boolean checkpoint,
			long now) {
		return checkEpoch(holderEpoch, now).flatMap((acceptedEpoch) -> {
			Task task = this.tasks.get(id);
			if (task == null) {
				return Either.right(recordEnded(id, now).report());
			}
			if (task.isLive()) {
				if (checkpoint && task.state == TaskState.RUNNING) {
					task.savedMs = task.progressMs(now, this.timeScale);
				}
				finish(task, checkpoint ? TaskState.CHECKPOINTED : TaskState.STOPPED, now);
			}
			return Either.right(task.report());
		});
	}

	/**
	 * Returns the number of running tasks.
	 */
	public synchronized int countRunning(long now) {
		advance(now);
		return (int) this.tasks.values().stream().filter((task) -> task.state == TaskState.RUNNING).count();
	}

	/**
	 * Stops all live tasks, as a failure of the VM does.
	 */
	public synchronized void stopAll(long now) {
		advance(now);
		this.tasks.values().stream().filter(Task::isLive).forEach((task) -> finish(task, TaskState.STOPPED, now));
	}

	/**
	 * Records the epoch as the newest one, or fails if a newer one was seen.
	 */
	private Either<WorkerFailure, Long> checkEpoch(long holderEpoch, long now) {
		advance(now);
		if (holderEpoch < this.epoch) {
			return Either.left(new StaleEpoch(this.epoch));
		}
		this.epoch = holderEpoch;
		return Either.right(holderEpoch);
	}

	/**
	 * Ends the tasks that have finished, failed or outlived their lease, and removes
	 * those that ended at least a minute ago.
	 */
	private void advance(long now) {
		for (Task task : this.tasks.values()) {
			if (task.state == TaskState.RUNNING && (task.failing || task.finishesAtMs(this.timeScale) <= now)
					&& task.finishesAtMs(this.timeScale) <= task.leaseUntilMs) {
				task.savedMs = task.reservation.workMs();
				finish(task, task.failing ? TaskState.FAILED : TaskState.FINISHED,
						task.failing ? now : task.finishesAtMs(this.timeScale));
			}
			else if (task.isLive() && task.leaseUntilMs <= now) {
				this.log.add("task-lease-lapsed", task.reservation.task(), task.leaseUntilMs);
				finish(task, TaskState.STOPPED, task.leaseUntilMs);
			}
		}
		this.tasks.values().removeIf((task) -> !task.isLive() && task.endedAtMs + ENDED_TASK_RETENTION_MS <= now);
	}

	private void finish(Task task, TaskState state, long at) {
		boolean ran = task.state == TaskState.RUNNING;
		task.state = state;
		task.endedAtMs = at;
		this.log.add(ran ? "task-end" : "task-release", task.reservation.task(), at);
	}

	/**
	 * Records a task that was ended before its reservation arrived.
	 */
	private Task recordEnded(String id, long now) {
		Task task = new Task(new Reservation(id, 0, 0, 0, 0, 0, 0, 0, ""), now);
		task.state = TaskState.STOPPED;
		task.endedAtMs = now;
		this.tasks.put(id, task);
		return task;
	}

	private boolean overlaps(Reservation requested) {
		return this.tasks.values()
			.stream()
			.filter(Task::isLive)
			.anyMatch((task) -> task.reservation.firstAccelerator() < requested.firstAccelerator()
					+ requested.accelerators()
					&& requested.firstAccelerator() < task.reservation.firstAccelerator()
							+ task.reservation.accelerators());
	}

	private List<TaskReport> reports() {
		List<TaskReport> reports = new ArrayList<>();
		this.tasks.values().forEach((task) -> reports.add(task.report()));
		return reports;
	}

	private static final class Task {

		private final Reservation reservation;

		private TaskState state = TaskState.RESERVED;

		private long leaseUntilMs;

		private long startedAtMs;

		private long endedAtMs;

		private long savedMs;

		private boolean failing;

		Task(Reservation requested, long leaseUntilMs) {
			this.reservation = requested;
			this.leaseUntilMs = leaseUntilMs;
			this.savedMs = requested.doneMs();
		}

		boolean isLive() {
			return this.state == TaskState.RESERVED || this.state == TaskState.RUNNING;
		}

		long finishesAtMs(double timeScale) {
			return this.startedAtMs + (long) ((this.reservation.workMs() - this.reservation.doneMs()) * timeScale);
		}

		long progressMs(long now, double timeScale) {
			return Math.min(this.reservation.workMs(),
					this.reservation.doneMs() + (long) ((now - this.startedAtMs) / timeScale));
		}

		TaskReport report() {
			String answer = (this.state == TaskState.FINISHED) ? "done " + this.reservation.payload() : "";
			return new TaskReport(this.reservation.task(), this.state, this.savedMs, answer);
		}

	}

}
