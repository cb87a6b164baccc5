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
 * The tasks of one stand-in worker: reservations, leases, epochs, progress. Guarded by
 * its own lock.
 */
public final class TaskTable {

	private static final long KEPT_AFTER_END_MS = 60_000;

	private final Map<String, Task> tasks = new LinkedHashMap<>();

	private final RunLog log;

	private final int accelerators;

	private final double timeScale;

	private long epoch;

	/**
	 * Creates the table.
	 * @param timeScale the share of the declared run time that tasks truly take
	 */
	public TaskTable(int accelerators, double timeScale, RunLog log) {
		this.accelerators = accelerators;
		this.timeScale = timeScale;
		this.log = log;
	}

	public synchronized Either<WorkerFailure, List<TaskReport>> fence(long newEpoch, long now) {
		return admitted(newEpoch, now).map((admitted) -> reports());
	}

	public synchronized Either<WorkerFailure, TaskReport> reserve(long holderEpoch, Reservation wanted, boolean refuses,
			long now) {
		return admitted(holderEpoch, now).flatMap((admitted) -> {
			Task known = this.tasks.get(wanted.task());
			if (known != null) {
				return Either.right(known.report());
			}
			if (refuses) {
				return Either.left(new Refused("leaving"));
			}
			if (wanted.firstAccelerator() + wanted.accelerators() > this.accelerators || overlaps(wanted)) {
				return Either.left(new Refused("accelerators are taken"));
			}
			Task task = new Task(wanted, now + wanted.leaseMs());
			this.tasks.put(wanted.task(), task);
			this.log.add("task-reserve", wanted.task(), now);
			return Either.right(task.report());
		});
	}

	public synchronized Either<WorkerFailure, TaskReport> start(long holderEpoch, String id, boolean failsAll,
			long now) {
		return admitted(holderEpoch, now).flatMap((admitted) -> {
			Task task = this.tasks.get(id);
			if (task == null) {
				return Either.left(new Refused("no such task"));
			}
			if (task.state == TaskState.RESERVED) {
				task.state = TaskState.RUNNING;
				task.startedAt = now;
				task.failing = failsAll;
				this.log.add("task-start", id, now);
			}
			return Either.right(task.report());
		});
	}

	public synchronized Either<WorkerFailure, List<TaskReport>> renew(long holderEpoch, List<String> ids, long leaseMs,
			long now) {
		return admitted(holderEpoch, now).map((admitted) -> {
			ids.stream()
				.map(this.tasks::get)
				.filter((task) -> task != null && task.live())
				.forEach((task) -> task.leaseUntil = now + leaseMs);
			return reports();
		});
	}

	public synchronized Either<WorkerFailure, TaskReport> end(long holderEpoch, String id, boolean checkpoint,
			long now) {
		return admitted(holderEpoch, now).flatMap((admitted) -> {
			Task task = this.tasks.get(id);
			if (task == null) {
				return Either.right(tombstone(id, now).report());
			}
			if (task.live()) {
				if (checkpoint && task.state == TaskState.RUNNING) {
					task.savedMs = task.progressMs(now, this.timeScale);
				}
				finish(task, checkpoint ? TaskState.CHECKPOINTED : TaskState.STOPPED, now);
			}
			return Either.right(task.report());
		});
	}

	public synchronized int running(long now) {
		advance(now);
		return (int) this.tasks.values().stream().filter((task) -> task.state == TaskState.RUNNING).count();
	}

	/**
	 * Ends everything at once, as when the VM fails.
	 */
	public synchronized void lose(long now) {
		advance(now);
		this.tasks.values().stream().filter(Task::live).forEach((task) -> finish(task, TaskState.STOPPED, now));
	}

	private Either<WorkerFailure, Long> admitted(long holderEpoch, long now) {
		advance(now);
		if (holderEpoch < this.epoch) {
			return Either.left(new StaleEpoch(this.epoch));
		}
		this.epoch = holderEpoch;
		return Either.right(holderEpoch);
	}

	private void advance(long now) {
		for (Task task : this.tasks.values()) {
			if (task.state == TaskState.RUNNING && (task.failing || task.endsAt(this.timeScale) <= now)
					&& task.endsAt(this.timeScale) <= task.leaseUntil) {
				task.savedMs = task.wanted.workMs();
				finish(task, task.failing ? TaskState.FAILED : TaskState.FINISHED,
						task.failing ? now : task.endsAt(this.timeScale));
			}
			else if (task.live() && task.leaseUntil <= now) {
				this.log.add("task-lease-lapsed", task.wanted.task(), task.leaseUntil);
				finish(task, TaskState.STOPPED, task.leaseUntil);
			}
		}
		this.tasks.values().removeIf((task) -> !task.live() && task.endedAt + KEPT_AFTER_END_MS <= now);
	}

	private void finish(Task task, TaskState state, long at) {
		boolean ran = task.state == TaskState.RUNNING;
		task.state = state;
		task.endedAt = at;
		this.log.add(ran ? "task-end" : "task-release", task.wanted.task(), at);
	}

	/**
	 * Remembers that a task was ended before its reservation arrived.
	 */
	private Task tombstone(String id, long now) {
		Task task = new Task(new Reservation(id, 0, 0, 0, 0, 0, 0, 0, ""), now);
		task.state = TaskState.STOPPED;
		task.endedAt = now;
		this.tasks.put(id, task);
		return task;
	}

	private boolean overlaps(Reservation wanted) {
		return this.tasks.values()
			.stream()
			.filter(Task::live)
			.anyMatch((task) -> task.wanted.firstAccelerator() < wanted.firstAccelerator() + wanted.accelerators()
					&& wanted.firstAccelerator() < task.wanted.firstAccelerator() + task.wanted.accelerators());
	}

	private List<TaskReport> reports() {
		List<TaskReport> reports = new ArrayList<>();
		this.tasks.values().forEach((task) -> reports.add(task.report()));
		return reports;
	}

	private static final class Task {

		private final Reservation wanted;

		private TaskState state = TaskState.RESERVED;

		private long leaseUntil;

		private long startedAt;

		private long endedAt;

		private long savedMs;

		private boolean failing;

		Task(Reservation wanted, long leaseUntil) {
			this.wanted = wanted;
			this.leaseUntil = leaseUntil;
			this.savedMs = wanted.doneMs();
		}

		boolean live() {
			return this.state == TaskState.RESERVED || this.state == TaskState.RUNNING;
		}

		long endsAt(double timeScale) {
			return this.startedAt + (long) ((this.wanted.workMs() - this.wanted.doneMs()) * timeScale);
		}

		long progressMs(long now, double timeScale) {
			return Math.min(this.wanted.workMs(), this.wanted.doneMs() + (long) ((now - this.startedAt) / timeScale));
		}

		TaskReport report() {
			String answer = (this.state == TaskState.FINISHED) ? "done " + this.wanted.payload() : "";
			return new TaskReport(this.wanted.task(), this.state, this.savedMs, answer);
		}

	}

}
