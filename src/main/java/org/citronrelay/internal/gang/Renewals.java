package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.citronrelay.internal.gang.Effect.MemberRef;
import org.citronrelay.internal.gang.JobPhase.EndCause;
import org.citronrelay.internal.placement.Choice;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks.EndMode;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.TaskState;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * Leases of tasks: one call for each worker, which renews its tasks and tells how they
 * are. The members of a gang are renewed only while every one of them was seen a moment
 * ago, so a gang that is cut apart stops by itself.
 */
final class Renewals {

	private final DomainDraft draft;

	private final GangSteps steps;

	Renewals(DomainDraft draft, GangSteps steps) {
		this.draft = draft;
		this.steps = steps;
	}

	/**
	 * Sends the renewals when they are due. Workers that did not answer are asked too, so
	 * that they are found when they are back.
	 */
	void send() {
		if (this.draft.now() < this.draft.nextRenewAt()) {
			return;
		}
		this.draft.renewedNext(this.draft.now() + this.draft.timings().renewEveryMs());
		Map<Integer, List<String>> tasks = tasksByVm();
		for (int index = 0; index < this.draft.fleet().size(); index++) {
			Vm vm = this.draft.fleet().vm(index).vm();
			boolean asked = tasks.containsKey(index) || this.draft.unreachable().contains(vm.id());
			if (asked && this.draft.fleet().listed(index)) {
				this.draft.emit(new Effect.Renew(vm.id(), vm.address(), tasks.getOrDefault(index, List.of()),
						this.draft.timings().leaseMs(), this.draft.now()));
			}
		}
	}

	/**
	 * Takes the answer of a worker. It says nothing of gangs that started after it was
	 * asked.
	 */
	void answered(String vm, long sentAt, Either<WorkerFailure, List<TaskReport>> result) {
		this.draft.reachable(vm, result.isRight());
		if (result.isLeft()) {
			return;
		}
		Set<String> reported = new HashSet<>();
		for (TaskReport report : result.get()) {
			reported.add(report.task());
			take(vm, report);
		}
		missing(vm, sentAt, reported);
	}

	/**
	 * Gives up gangs of which a member was not seen for too long.
	 */
	void giveUpLost() {
		long oldest = this.draft.now() - this.draft.timings().lostAfterMs();
		for (Job job : this.draft.jobs()) {
			if (job.phase() instanceof JobPhase.Running running && !running.wholeSince(oldest)) {
				this.steps.ends().end(job, running.choice(), new EndCause.Lost("a member was not seen for too long"));
			}
		}
	}

	private Map<Integer, List<String>> tasksByVm() {
		Map<Integer, List<String>> tasks = new HashMap<>();
		long oldest = this.draft.now() - this.draft.timings().lostAfterMs();
		for (Job job : this.draft.jobs()) {
			Choice choice = renewed(job, oldest);
			if (choice == null) {
				continue;
			}
			for (int member = 0; member < choice.allocations().size(); member++) {
				tasks.computeIfAbsent(choice.allocations().get(member).vm(), (vm) -> new ArrayList<>())
					.add(taskOf(job, member, choice));
			}
		}
		return tasks;
	}

	/**
	 * Where the members of a job are that are to be renewed, null if none are.
	 */
	private static Choice renewed(Job job, long oldest) {
		return switch (job.phase()) {
			case JobPhase.Recording recording -> recording.choice();
			case JobPhase.Starting starting -> starting.choice();
			case JobPhase.Running running when running.wholeSince(oldest) -> running.choice();
			default -> null;
		};
	}

	private void take(String vm, TaskReport report) {
		TaskId.parse(report.task()).forEach((task) -> take(vm, task, report));
	}

	private void take(String vm, TaskId task, TaskReport report) {
		Job job = this.draft.job(task.job()).getOrElse((Job) null);
		boolean known = job != null && job.lastAttempt() == task.attempt();
		if (known && job.phase() instanceof JobPhase.Running running && !running.answers().containsKey(task.member())) {
			this.steps.seen(job, running, task.member(), report.state(), report.answer());
		}
		else if (!known && live(report)) {
			endOrphan(vm, task);
		}
	}

	/**
	 * Ends a task that no attempt of this holder accounts for.
	 */
	private void endOrphan(String vmId, TaskId task) {
		Vm vm = this.draft.fleet().vm(this.draft.fleet().indexOf(vmId)).vm();
		this.draft.emit(new Effect.End(new MemberRef(task, vmId, vm.address()), EndMode.STOP));
	}

	private void missing(String vm, long sentAt, Set<String> reported) {
		for (Job job : this.draft.jobs()) {
			if (job.phase() instanceof JobPhase.Running running && running.startedAt() <= sentAt) {
				missing(vm, reported, job, running);
			}
		}
	}

	private void missing(String vm, Set<String> reported, Job job, JobPhase.Running running) {
		for (int member = 0; member < running.choice().allocations().size(); member++) {
			String at = this.draft.fleet().vm(running.choice().allocations().get(member).vm()).vm().id();
			boolean answered = running.answers().containsKey(member);
			if (at.equals(vm) && !answered && !reported.contains(taskOf(job, member, running.choice()))) {
				this.steps.ends().end(job, running.choice(), new EndCause.Lost("member " + member + " is gone"));
				return;
			}
		}
	}

	private static String taskOf(Job job, int member, Choice choice) {
		return new TaskId(job.id(), job.lastAttempt(), member, choice.allocations().size()).toString();
	}

	private static boolean live(TaskReport report) {
		return report.state() == TaskState.RUNNING || report.state() == TaskState.RESERVED;
	}

}
