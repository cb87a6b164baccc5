package org.citronrelay.internal.holder;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.citronrelay.internal.gang.DomainTimings;
import org.citronrelay.internal.gang.MemberTaskId;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.TaskState;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * Keeps running gangs alive while neither a holder nor the key-value service can be
 * reached. It starts and ends no task: it renews, with the last known epoch, the task
 * leases of gangs whose members are all running or finished.
 */
final class OrphanedGangRenewer {

	private final WorkerTasks workers;

	private final DomainTimings timings;

	OrphanedGangRenewer(WorkerTasks workers, DomainTimings timings) {
		this.workers = workers;
		this.timings = timings;
	}

	/**
	 * Lists the tasks of all workers and renews those of complete gangs. Workers that do
	 * not answer are skipped.
	 * @param vms the VMs of the failure domain
	 * @param epoch the last known epoch
	 * @return the number of renewed tasks
	 */
	int renewCompleteGangs(List<Vm> vms, long epoch) {
		Map<Vm, List<TaskReport>> reportsByVm = new HashMap<>();
		for (Vm vm : vms) {
			renew(vm, epoch, List.of()).forEach((reports) -> reportsByVm.put(vm, reports));
		}
		Set<String> complete = completeGangs(reportsByVm.values());
		int renewed = 0;
		for (Map.Entry<Vm, List<TaskReport>> worker : reportsByVm.entrySet()) {
			List<String> tasks = runningTasks(worker.getValue(), complete);
			if (!tasks.isEmpty() && renew(worker.getKey(), epoch, tasks).isRight()) {
				renewed += tasks.size();
			}
		}
		return renewed;
	}

	/**
	 * Returns the ids of the gangs whose members are all running or finished.
	 * @param reports the task reports of each worker
	 */
	static Set<String> completeGangs(Iterable<List<TaskReport>> reports) {
		Map<String, Set<Integer>> members = new HashMap<>();
		Set<String> complete = new HashSet<>();
		for (List<TaskReport> workerReports : reports) {
			for (TaskReport report : workerReports) {
				MemberTaskId.parse(report.task()).filter((task) -> runningOrFinished(report)).forEach((task) -> {
					Set<Integer> present = members.computeIfAbsent(task.gang(), (gang) -> new HashSet<>());
					present.add(task.member());
					if (present.size() == task.members()) {
						complete.add(task.gang());
					}
				});
			}
		}
		return complete;
	}

	/**
	 * Renews the given tasks and returns all tasks of the worker; an empty list of tasks
	 * only lists them.
	 */
	private Either<WorkerFailure, List<TaskReport>> renew(Vm vm, long epoch, List<String> tasks) {
		return this.workers.renew(vm.address(), epoch, tasks, this.timings.leaseMs());
	}

	private static List<String> runningTasks(List<TaskReport> reports, Set<String> complete) {
		List<String> tasks = new ArrayList<>();
		for (TaskReport report : reports) {
			boolean running = report.state() == TaskState.RUNNING;
			if (running && MemberTaskId.parse(report.task()).exists((task) -> complete.contains(task.gang()))) {
				tasks.add(report.task());
			}
		}
		return tasks;
	}

	private static boolean runningOrFinished(TaskReport report) {
		return report.state() == TaskState.RUNNING || report.state() == TaskState.FINISHED;
	}

}
