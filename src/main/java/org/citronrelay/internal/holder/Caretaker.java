package org.citronrelay.internal.holder;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.citronrelay.internal.gang.DomainTimings;
import org.citronrelay.internal.gang.TaskId;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.TaskState;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * Keeps running gangs alive while the holder and the key-value service are gone together.
 * It starts nothing and ends nothing: it renews, on the last epoch known, the gangs of
 * which every member was just seen.
 */
final class Caretaker {

	private final WorkerTasks workers;

	private final DomainTimings timings;

	Caretaker(WorkerTasks workers, DomainTimings timings) {
		this.workers = workers;
		this.timings = timings;
	}

	/**
	 * Sees all tasks and renews the whole gangs.
	 * @return how many tasks were renewed
	 */
	int round(List<Vm> vms, long epoch) {
		Map<Vm, List<TaskReport>> seen = new HashMap<>();
		for (Vm vm : vms) {
			renew(vm, epoch, List.of()).forEach((reports) -> seen.put(vm, reports));
		}
		Set<String> whole = wholeGangs(seen.values());
		int renewed = 0;
		for (Map.Entry<Vm, List<TaskReport>> worker : seen.entrySet()) {
			List<String> tasks = tasksOf(worker.getValue(), whole);
			if (!tasks.isEmpty() && renew(worker.getKey(), epoch, tasks).isRight()) {
				renewed += tasks.size();
			}
		}
		return renewed;
	}

	/**
	 * The gangs of which every member runs or has finished.
	 */
	static Set<String> wholeGangs(Iterable<List<TaskReport>> reports) {
		Map<String, Set<Integer>> members = new HashMap<>();
		Set<String> whole = new HashSet<>();
		for (List<TaskReport> worker : reports) {
			for (TaskReport report : worker) {
				TaskId.parse(report.task()).filter((task) -> counts(report)).forEach((task) -> {
					Set<Integer> present = members.computeIfAbsent(task.gang(), (gang) -> new HashSet<>());
					present.add(task.member());
					if (present.size() == task.members()) {
						whole.add(task.gang());
					}
				});
			}
		}
		return whole;
	}

	private Either<WorkerFailure, List<TaskReport>> renew(Vm vm, long epoch, List<String> tasks) {
		return this.workers.renew(vm.address(), epoch, tasks, this.timings.leaseMs());
	}

	private static List<String> tasksOf(List<TaskReport> reports, Set<String> whole) {
		List<String> tasks = new ArrayList<>();
		for (TaskReport report : reports) {
			boolean running = report.state() == TaskState.RUNNING;
			if (running && TaskId.parse(report.task()).exists((task) -> whole.contains(task.gang()))) {
				tasks.add(report.task());
			}
		}
		return tasks;
	}

	private static boolean counts(TaskReport report) {
		return report.state() == TaskState.RUNNING || report.state() == TaskState.FINISHED;
	}

}
