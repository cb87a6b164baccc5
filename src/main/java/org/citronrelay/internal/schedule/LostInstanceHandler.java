package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.citronrelay.internal.schedule.VmCrash.Evidence;

/**
 * Handles the loss of an instance of a VM: its runs have ended, and if it crashed, its
 * tasks are suspected.
 */
final class LostInstanceHandler {

	private final TaskLifecycle lifecycle;

	private final Outbox outbox;

	LostInstanceHandler(TaskLifecycle lifecycle, Outbox outbox) {
		this.lifecycle = lifecycle;
		this.outbox = outbox;
	}

	void handle(LostInstance instance, Moment now) {
		if (instance.announced()) {
			instance.runs()
				.forEach((task) -> this.lifecycle.runLost(task, now, RunEndCause.VM_LOST, instance.evidence()));
			return;
		}
		List<SuspectRun> suspects = suspects(instance);
		boolean unproven = suspects.stream().anyMatch((run) -> !run.proven());
		Set<Object> likely = suspects.stream()
			.filter((run) -> !unproven || !run.proven())
			.map((run) -> run.task().unit())
			.collect(Collectors.toSet());
		for (SuspectRun run : suspects) {
			run.task().crashes.add(crash(run, unproven, likely, instance, now));
			run.task().step.job.unstored = true;
		}
		report(instance, suspects, likely, now);
		instance.runs()
			.forEach((task) -> this.lifecycle.runLost(task, now, RunEndCause.VM_CRASHED, instance.evidence()));
		suspects.stream()
			.map(SuspectRun::task)
			.filter((task) -> CrashSuspicion.conclusive(task.crashes) && !task.step.job.phase.ended())
			.forEach((task) -> giveUp(task, now));
	}

	/**
	 * Returns the runs that may have run at the time of the crash.
	 */
	private static List<SuspectRun> suspects(LostInstance instance) {
		return Stream
			.concat(instance.runs()
				.stream()
				.filter(TaskState::mayHaveStarted)
				.map((task) -> SuspectRun.of(task, instance.answeredAt())), instance.lapsedRuns().stream())
			.toList();
	}

	private static VmCrash crash(SuspectRun run, boolean unproven, Set<Object> likely, LostInstance instance,
			Moment now) {
		Evidence evidence = (likely.size() > 1) ? Evidence.SUSPECT : Evidence.ONLY_SUSPECT;
		return new VmCrash(instance.vm(), now.wallMs(), run.ageAt(instance.failedAt()),
				(unproven && run.proven()) ? Evidence.BYSTANDER : evidence);
	}

	private void report(LostInstance instance, List<SuspectRun> suspects, Set<Object> likely, Moment now) {
		List<String> runs = new ArrayList<>();
		for (SuspectRun run : suspects) {
			VmCrash crash = run.task().crashes.getLast();
			runs.add(run.task().id() + " after " + crash.ageMs() + " ms, " + crash.evidence() + ", crash "
					+ run.task().crashes.size() + " under it");
		}
		Set<String> teams = suspects.stream()
			.filter((run) -> likely.contains(run.task().unit()))
			.map((run) -> run.task().step.job.spec.team())
			.collect(Collectors.toSet());
		this.outbox.add(new Effect.VmCrashed(instance.vm(), teams,
				instance.evidence() + ", "
						+ ((instance.answeredAt() > 0)
								? (now.monotonicMs() - instance.answeredAt()) + " ms after its last answer"
								: "without an answer to this coordinator")
						+ "; runs: " + runs));
	}

	private void giveUp(TaskState task, Moment now) {
		JobState job = task.step.job;
		this.outbox.add(new Effect.GivenUp(job.id(), job.spec.team(),
				"task " + task.id() + " was given up after " + task.crashes.size() + " crashes: " + task.crashes));
		this.lifecycle.endJob(job, JobPhase.FAILED, now);
	}

}
