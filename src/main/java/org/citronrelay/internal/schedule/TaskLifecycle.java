package org.citronrelay.internal.schedule;

import java.util.List;
import java.util.Map;

/**
 * Moves tasks from phase to phase, and issues the start and stop commands that follow.
 */
final class TaskLifecycle {

	/** The number of consecutive failed runs after which a VM is quarantined. */
	private static final int FAILURES_TO_QUARANTINE = 2;

	private static final int ALL_PERCENT = 100;

	private final VmRegistry vms;

	private final Outbox outbox;

	private final ScheduleTimings timings;

	private final DuplicateRuns duplicateRuns;

	private final WastedWork wasted = new WastedWork();

	TaskLifecycle(VmRegistry vms, Outbox outbox, DuplicateRuns duplicateRuns, ScheduleTimings timings) {
		this.vms = vms;
		this.outbox = outbox;
		this.duplicateRuns = duplicateRuns;
		this.timings = timings;
	}

	/**
	 * Returns the work of runs that was lost, in core-seconds.
	 */
	Map<RunEndCause, Double> wastedCoreSeconds() {
		return this.wasted.coreSeconds();
	}

	/**
	 * Assigns a task to a VM. The run is started once the assignment is stored.
	 */
	void place(TaskState task, VmState vm, long run, Moment now) {
		task.keepPreviousRun();
		task.overlapsReported.clear();
		task.phase = TaskPhase.PLACED;
		task.run = run;
		task.vm = vm.id();
		task.boot = vm.registration.boot();
		task.placedAt = now.monotonicMs();
		task.checkpointedAt = now.monotonicMs();
		task.progressedAt = now.monotonicMs();
		task.startedAt = 0;
		task.address = vm.registration.address();
		task.percent = 0;
		task.commandIssuedAt = 0;
		task.startIssuedAt = 0;
		task.unansweredStarts = 0;
		task.startAnsweredAt = 0;
		task.listed = false;
		task.ruledOutFrom = 0;
		task.recorded = false;
		task.inherited = false;
		task.stopCause = null;
		vm.tasks.add(task);
		if (task.guarded()) {
			// If it answers and then crashes, it has received the start.
			vm.doubt(now);
		}
		JobState job = task.step.job;
		job.unstored = true;
		job.afterStore.add(() -> {
			if (task.run == run) {
				task.recorded = true;
			}
		});
	}

	/**
	 * Issues the start and stop commands that are due on a VM. A command without effect
	 * is repeated after the retry interval. Only a VM that answers is told to start runs:
	 * one that is silent may be another instance when it returns. One that has been idle
	 * for long is renewed first, so that the lease of the start is not too long.
	 */
	void issueCommands(VmState vm, Moment now) {
		for (TaskState task : vm.tasks) {
			boolean due = task.commandIssuedAt == 0
					|| now.monotonicMs() - task.commandIssuedAt >= this.timings.retryMs();
			if (!due || !task.recorded || !vm.fenced || (task.inherited && task.phase == TaskPhase.PLACED)) {
				continue;
			}
			if (task.phase == TaskPhase.PLACED && vm.reachable() && vm.clockKnown(now) && gangReachable(task)) {
				if (task.startIssuedAt == 0) {
					this.duplicateRuns.starting(task, vm, now);
				}
				long leaseUntil = this.vms.extendLeaseOffer(vm, now);
				task.commandIssuedAt = now.monotonicMs();
				task.startIssuedAt = now.monotonicMs();
				task.unansweredStarts++;
				this.outbox.add(new Effect.Start(vm.registration, task.id(), task.run, task.step.job.spec.payload(),
						task.step.checkpoint(task), leaseUntil));
			}
			else if (task.phase == TaskPhase.STOPPING) {
				task.commandIssuedAt = now.monotonicMs();
				this.outbox.add(new Effect.Stop(vm.registration, task.id(), task.run));
			}
		}
	}

	/**
	 * Whether the VMs of all members of the gang of a task answer. Members that started
	 * alone would wait for the others.
	 */
	private boolean gangReachable(TaskState task) {
		return !task.step.spec.gang() || task.step.tasks.stream()
			.filter((member) -> member.phase == TaskPhase.PLACED)
			.map((member) -> this.vms.find(member.vm))
			.allMatch((vm) -> vm == null || vm.doubtedAt == 0);
	}

	void startAnswered(TaskState task, StartAnswer answer, Moment now) {
		task.startAnswered(answer, now);
		switch (answer) {
			case STARTED -> runStarted(task, now);
			case OUTDATED -> startRuledOut(task, RunOverEvidence.START_REFUSED, now);
			case LATE -> task.commandIssuedAt = now.monotonicMs() - this.timings.retryMs();
			case NO_ROOM, REJECTED, UNHEALTHY -> {
				this.outbox.note(task.step.job.id(), "VM refused to start a run",
						task.id() + " run " + task.run + " on " + task.vm + ": " + answer);
				task.avoidedVms.put(task.vm, now.monotonicMs());
				if (answer == StartAnswer.UNHEALTHY) {
					quarantine(this.vms.find(task.vm), now);
				}
				stop(task, RunEndCause.REFUSED, now);
			}
			case FENCED, UNKNOWN -> {
			}
		}
	}

	/**
	 * Records that a run can no longer start on its VM, because the VM has confirmed that
	 * or obeys a later coordinator. The run may have started before and be ending now,
	 * for the time that a stop takes and whether the VM lists it or not.
	 * @param evidence on what evidence the run counts as over if the VM does not list it
	 * then
	 */
	void startRuledOut(TaskState task, RunOverEvidence evidence, Moment now) {
		task.ruledOutFrom(task.mayHaveBegun() ? now.plus(this.timings.stopGraceMs()) : now, evidence);
	}

	void runListed(TaskState task, VmAnswer.Running running, Moment now) {
		task.listed = true;
		if (task.phase == TaskPhase.PLACED) {
			runStarted(task, now);
		}
		if (task.step.job.phase.ended()) {
			stop(task, RunEndCause.of(task.step.job.phase), now);
		}
		if (task.inherited) {
			estimateStart(task, running, now);
			this.duplicateRuns.started(task, now);
		}
		if (running.percent() > task.percent) {
			task.percent = running.percent();
			task.progressedAt = now.monotonicMs();
		}
		if (!running.checkpoint().isEmpty()) {
			if (!running.checkpoint().equals(task.step.checkpoint(task))) {
				task.checkpointedAt = now.monotonicMs();
			}
			task.step.recordCheckpoint(task, running.checkpoint());
		}
	}

	/**
	 * Estimates from its progress when a run of an earlier coordinator started.
	 */
	private static void estimateStart(TaskState task, VmAnswer.Running running, Moment now) {
		task.inherited = false;
		long elapsedMs = task.step.spec.estimateMs() * running.percent() / ALL_PERCENT;
		task.placedAt = now.monotonicMs() - elapsedMs;
		task.startedAt = task.placedAt;
		task.checkpointedAt = running.checkpoint().isEmpty() ? task.placedAt : now.monotonicMs();
	}

	void runEnded(TaskState task, VmState vm, VmAnswer.Ended ended, Moment now) {
		if (!ended.checkpoint().isEmpty()) {
			task.step.recordCheckpoint(task, ended.checkpoint());
		}
		if (task.phase.occupiesCapacity()) {
			task.over = RunOver.of(task, RunOverEvidence.END_LISTED, vm.answeredAt, now);
		}
		switch (ended.reason()) {
			case DONE -> runSucceeded(task, vm, now);
			case FAILED -> runFailed(task, vm, now);
			case STOPPED, LAPSED, BROKEN, ALONE -> {
				endedEarly(task, RunEndCause.of(ended.reason(), task.stopCause), ended.reason().name(), now);
				release(task);
				requeue(task, now);
			}
		}
	}

	/**
	 * Handles a run that no longer exists although its VM listed no end of it.
	 * @param over the run, with the evidence that it is over
	 */
	void runLost(TaskState task, RunEndCause cause, RunOver over, String reason, Moment now) {
		task.over = over;
		endedEarly(task, cause, reason, now);
		task.step.job.unstored = true;
		release(task);
		requeue(task, now);
	}

	/**
	 * Records a run that ended before its task was done, and the work that is lost with
	 * it.
	 */
	private void endedEarly(TaskState task, RunEndCause cause, String observed, Moment now) {
		double lost = task.unsavedWork(now.monotonicMs());
		this.wasted.add(cause, lost);
		this.outbox.note(task.step.job.id(), "Run ended before its task was done",
				task.id() + " run " + task.run + " on " + task.vm + ", boot " + task.boot + ", at " + task.percent
						+ "%: " + cause + ", " + observed + ", evidence " + task.over.evidence() + ", "
						+ Math.round(lost) + " core-seconds of unsaved work");
	}

	/**
	 * Ends a job: its runs are stopped, and no further task of it starts.
	 */
	void endJob(JobState job, JobPhase phase, Moment now) {
		job.phase = phase;
		job.endedAt = now.monotonicMs();
		job.unstored = true;
		for (StepState step : job.steps) {
			step.tasks.forEach((task) -> stop(task, RunEndCause.of(phase), now));
		}
	}

	/**
	 * Stops the run of a task, if there is one. A run for which no start command was
	 * issued is released at once.
	 */
	void stop(TaskState task, RunEndCause cause, Moment now) {
		if (!task.mayHaveStarted()) {
			VmState vm = this.vms.find(task.vm);
			task.over = RunOver.of(task, RunOverEvidence.NEVER_STARTED, (vm != null) ? vm.answeredAt : 0, now);
			release(task);
			task.step.job.unstored = true;
			requeue(task, now);
		}
		else if (task.phase == TaskPhase.PLACED || task.phase == TaskPhase.RUNNING) {
			task.phase = TaskPhase.STOPPING;
			task.stopCause = cause;
			task.commandIssuedAt = 0;
			task.recorded = true;
		}
	}

	/**
	 * Withdraws a task from a VM before the task is known to have started.
	 */
	void withdraw(TaskState task, RunEndCause cause, Moment now) {
		this.outbox.note(task.step.job.id(), "Withdrawing a start",
				task.id() + " run " + task.run + " on " + task.vm + ": " + cause);
		stop(task, cause, now);
	}

	/**
	 * Stops runs that make no progress, so that their tasks move to other VMs, and gangs
	 * of which some members have waited too long for the others to start.
	 */
	void stopStalledRuns(VmState vm, Moment now) {
		for (TaskState task : List.copyOf(vm.tasks)) {
			if (task.phase == TaskPhase.RUNNING && StalledRuns.stalled(task, vm, this.timings.stallMs(), now)) {
				this.outbox.note(task.step.job.id(), "Stopping a run that makes no progress",
						task.id() + " run " + task.run + " on " + vm.id() + " at " + task.percent + "% for "
								+ (now.monotonicMs() - task.progressedAt) + " ms");
				task.avoidedVms.put(vm.id(), now.monotonicMs());
				quarantine(vm, now);
				stop(task, RunEndCause.STALLED, now);
			}
			else if (StalledRuns.waitsForGangMembers(task, this.timings.gangWaitMs(), now)) {
				this.outbox.note(task.step.job.id(), "Stopping a gang that has not started completely",
						task.id() + " run " + task.run + " on " + vm.id() + " has waited "
								+ (now.monotonicMs() - task.progressedAt) + " ms for members that have not started");
				task.step.tasks.forEach((member) -> stop(member, RunEndCause.GANG_INCOMPLETE, now));
			}
		}
	}

	/**
	 * Stops the runs that have to leave a VM before it shuts down, a gang as a whole.
	 */
	void evacuate(VmState vm, Moment now) {
		if (vm.leavesAt == Long.MAX_VALUE) {
			return;
		}
		for (TaskState task : List.copyOf(vm.tasks)) {
			if (Evacuation.due(task, vm.leavesAt, this.timings.stopGraceMs(), now.monotonicMs())) {
				this.outbox.note(task.step.job.id(), "Moving a run off a VM that is about to shut down",
						task.id() + " run " + task.run + " on " + vm.id() + " at " + task.percent + "%, "
								+ (vm.leavesAt - now.monotonicMs()) + " ms before the VM may leave");
				List<TaskState> members = task.step.spec.gang() ? task.step.tasks : List.of(task);
				members.forEach((member) -> stop(member, RunEndCause.EVACUATED, now));
			}
		}
	}

	/**
	 * Lets the members of a gang wait for VMs again, once none of them has a run.
	 */
	void resetEndedGang(StepState step) {
		if (step.spec.gang() && step.tasks.stream()
			.allMatch((task) -> task.phase == TaskPhase.ENDED || task.phase == TaskPhase.WAITING)) {
			step.tasks.forEach((task) -> task.phase = TaskPhase.WAITING);
		}
	}

	private void runStarted(TaskState task, Moment now) {
		if (task.phase != TaskPhase.PLACED) {
			return;
		}
		task.phase = TaskPhase.RUNNING;
		task.startedAt = now.monotonicMs();
		task.progressedAt = now.monotonicMs();
		JobState job = task.step.job;
		if (job.phase == JobPhase.QUEUED) {
			job.phase = JobPhase.RUNNING;
			job.unstored = true;
		}
		this.duplicateRuns.started(task, now);
	}

	private void runSucceeded(TaskState task, VmState vm, Moment now) {
		vm.consecutiveFailures = 0;
		List<TaskState> members = task.step.spec.gang() ? task.step.tasks : List.of(task);
		for (TaskState member : members) {
			if (member.phase.occupiesCapacity()) {
				member.over = RunOver.of(member, RunOverEvidence.END_LISTED, vm.answeredAt, now);
				release(member);
			}
			member.phase = task.step.spec.shape().longRunning() ? TaskPhase.WAITING : TaskPhase.DONE;
		}
		JobState job = task.step.job;
		if (!job.phase.ended() && job.allDone()) {
			job.phase = JobPhase.COMPLETED;
			job.endedAt = now.monotonicMs();
			this.outbox.note(job.id(), "Job completed: all its tasks have succeeded",
					(now.wallMs() - job.spec.acceptedAtMs()) + " ms after it was accepted, queue " + job.spec.queue()
							+ ", objective " + job.objectiveMs + " ms");
		}
	}

	private void runFailed(TaskState task, VmState vm, Moment now) {
		StepState step = task.step;
		TaskState failureCounter = step.spec.gang() ? step.tasks.getFirst() : task;
		if (!step.spec.gang() || step.lastFailedRun < task.run) {
			step.lastFailedRun = task.run;
			failureCounter.failures++;
		}
		this.outbox.note(step.job.id(), "Run of a task failed",
				task.id() + " run " + task.run + " on " + vm.id() + " at " + task.percent + "%, "
						+ failureCounter.failures + " of " + step.job.maxAttempts + " attempts used");
		task.avoidedVms.put(vm.id(), now.monotonicMs());
		vm.consecutiveFailures++;
		if (vm.consecutiveFailures >= FAILURES_TO_QUARANTINE) {
			quarantine(vm, now);
		}
		this.wasted.add(RunEndCause.FAILED, task.unsavedWork(now.monotonicMs()));
		release(task);
		if (failureCounter.failures >= step.job.maxAttempts && !step.spec.shape().longRunning()
				&& !step.job.phase.ended()) {
			this.outbox.note(step.job.id(), "Job failed; its other runs are stopped",
					"task " + task.id() + " has used all its attempts");
			endJob(step.job, JobPhase.FAILED, now);
		}
		requeue(task, now);
	}

	private void quarantine(VmState vm, Moment now) {
		if (vm != null && vm.quarantinedUntil <= now.monotonicMs()) {
			vm.quarantinedUntil = now.monotonicMs() + this.timings.quarantineMs();
			this.outbox.note("", "VM quarantined; it gets no new tasks for a time", vm.id() + " for "
					+ this.timings.quarantineMs() + " ms, " + vm.consecutiveFailures + " consecutive failed runs");
		}
	}

	private void release(TaskState task) {
		VmState vm = this.vms.find(task.vm);
		if (vm != null) {
			vm.tasks.remove(task);
		}
	}

	/**
	 * Lets a task wait for a VM again after a run without success. The members of a gang
	 * wait again only once all of them have ended; those that still run are stopped.
	 */
	private void requeue(TaskState task, Moment now) {
		task.endedEarlyAt = now.monotonicMs();
		if (!task.step.spec.gang()) {
			task.phase = TaskPhase.WAITING;
			return;
		}
		task.phase = TaskPhase.ENDED;
		task.step.tasks.forEach((member) -> stop(member, RunEndCause.GANG_BROKEN, now));
		resetEndedGang(task.step);
	}

}
