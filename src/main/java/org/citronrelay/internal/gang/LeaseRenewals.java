package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.citronrelay.internal.gang.DomainEffect.MemberRef;
import org.citronrelay.internal.gang.GangPhase.EndCause;
import org.citronrelay.internal.placement.Placement;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks.EndMode;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.TaskState;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * Renews the leases of tasks, with one call to each worker that also returns the reports
 * on its tasks. The members of a running gang are renewed only while each of them was
 * seen within {@link DomainTimings#lostAfterMs}, so if some members become unreachable,
 * the leases of all members expire and the whole gang stops.
 */
final class LeaseRenewals {

	private final DomainDraft draft;

	private final GangLifecycle lifecycle;

	LeaseRenewals(DomainDraft draft, GangLifecycle lifecycle) {
		this.draft = draft;
		this.lifecycle = lifecycle;
	}

	/**
	 * Sends the renewals if they are due. Unreachable workers without tasks are called
	 * too, so that a worker that answers again is noticed.
	 */
	void sendDue() {
		if (this.draft.now() < this.draft.nextRenewAt()) {
			return;
		}
		this.draft.nextRenewAt(this.draft.now() + this.draft.timings().renewEveryMs());
		Map<Integer, List<String>> tasks = tasksByVm();
		for (int index = 0; index < this.draft.fleet().size(); index++) {
			Vm vm = this.draft.fleet().vm(index).vm();
			boolean callNeeded = tasks.containsKey(index) || this.draft.unreachable().contains(vm.id());
			if (callNeeded && this.draft.fleet().listed(index)) {
				this.draft.emit(new DomainEffect.Renew(vm.id(), vm.address(), tasks.getOrDefault(index, List.of()),
						this.draft.timings().leaseMs(), this.draft.now()));
			}
		}
	}

	/**
	 * Handles the answer of a worker to a renewal. Tasks of gangs that started after the
	 * renewal was sent may be absent from the answer and do not count as missing.
	 * @param sentAt when the renewal was decided, in monotonic milliseconds
	 */
	void renewalCompleted(String vm, long sentAt, Either<WorkerFailure, List<TaskReport>> result) {
		this.draft.markReachable(vm, result.isRight());
		if (result.isLeft()) {
			return;
		}
		Set<String> reported = new HashSet<>();
		for (TaskReport report : result.get()) {
			reported.add(report.task());
			handleReport(vm, report);
		}
		endGangsMissingTasks(vm, sentAt, reported);
	}

	/**
	 * Ends gangs of which a member was not seen within {@link DomainTimings#lostAfterMs}.
	 */
	void endLostGangs() {
		long seenSince = this.draft.now() - this.draft.timings().lostAfterMs();
		for (Job job : this.draft.jobs()) {
			if (job.phase() instanceof GangPhase.Running running && !running.allSeenSince(seenSince)) {
				this.lifecycle.termination()
					.end(job, running.placement(), new EndCause.Lost("a member was not seen within the time limit"));
			}
		}
	}

	private Map<Integer, List<String>> tasksByVm() {
		Map<Integer, List<String>> tasks = new HashMap<>();
		long seenSince = this.draft.now() - this.draft.timings().lostAfterMs();
		for (Job job : this.draft.jobs()) {
			Placement placement = renewedPlacement(job, seenSince);
			if (placement == null) {
				continue;
			}
			for (int member = 0; member < placement.allocations().size(); member++) {
				tasks.computeIfAbsent(placement.allocations().get(member).vm(), (vm) -> new ArrayList<>())
					.add(taskId(job, member, placement));
			}
		}
		return tasks;
	}

	/**
	 * Returns the placement of a job whose members are to be renewed, or null if they are
	 * not.
	 */
	private static Placement renewedPlacement(Job job, long seenSince) {
		return switch (job.phase()) {
			case GangPhase.Recording recording -> recording.placement();
			case GangPhase.Starting starting -> starting.placement();
			case GangPhase.Running running when running.allSeenSince(seenSince) -> running.placement();
			default -> null;
		};
	}

	private void handleReport(String vm, TaskReport report) {
		MemberTaskId.parse(report.task()).forEach((task) -> handleReport(vm, task, report));
	}

	private void handleReport(String vm, MemberTaskId task, TaskReport report) {
		Job job = this.draft.job(task.job()).getOrElse((Job) null);
		boolean currentAttempt = job != null && job.lastAttempt() == task.attempt();
		if (currentAttempt && job.phase() instanceof GangPhase.Running running
				&& !running.answers().containsKey(task.member())) {
			this.lifecycle.memberReported(job, running, task.member(), report.state(), report.answer());
		}
		else if (!currentAttempt && holdsResources(report)) {
			endOrphanedTask(vm, task);
		}
	}

	/**
	 * Stops a task that does not belong to the latest attempt of any job of this holder.
	 */
	private void endOrphanedTask(String vmId, MemberTaskId task) {
		Vm vm = this.draft.fleet().vm(this.draft.fleet().indexOf(vmId)).vm();
		this.draft.emit(new DomainEffect.End(new MemberRef(task, vmId, vm.address()), EndMode.STOP));
	}

	/**
	 * Ends the running gangs that have an unfinished member on a VM whose worker did not
	 * report it.
	 */
	private void endGangsMissingTasks(String vm, long sentAt, Set<String> reported) {
		for (Job job : this.draft.jobs()) {
			if (job.phase() instanceof GangPhase.Running running && running.startedAt() <= sentAt) {
				endGangsMissingTasks(vm, reported, job, running);
			}
		}
	}

	private void endGangsMissingTasks(String vm, Set<String> reported, Job job, GangPhase.Running running) {
		for (int member = 0; member < running.placement().allocations().size(); member++) {
			String memberVm = this.draft.fleet().vm(running.placement().allocations().get(member).vm()).vm().id();
			boolean finished = running.answers().containsKey(member);
			if (memberVm.equals(vm) && !finished && !reported.contains(taskId(job, member, running.placement()))) {
				this.lifecycle.termination()
					.end(job, running.placement(), new EndCause.Lost("the worker has no task for member " + member));
				return;
			}
		}
	}

	private static String taskId(Job job, int member, Placement placement) {
		return new MemberTaskId(job.id(), job.lastAttempt(), member, placement.allocations().size()).toString();
	}

	private static boolean holdsResources(TaskReport report) {
		return report.state() == TaskState.RUNNING || report.state() == TaskState.RESERVED;
	}

}
