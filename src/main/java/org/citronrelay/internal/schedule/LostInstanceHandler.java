package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.citronrelay.internal.schedule.VmCrash.Evidence;

/**
 * Handles the loss of an instance of a VM: its runs have ended, and if it crashed, its
 * tasks are suspected.
 */
final class LostInstanceHandler {

	/** The age up to which a run may be the cause of a crash, in milliseconds. */
	private static final long LONGEST_SUSPICION_MS = 600_000;

	private final TaskLifecycle lifecycle;

	private final Outbox outbox;

	/** All jobs that are known. */
	private final Collection<JobState> jobs;

	LostInstanceHandler(TaskLifecycle lifecycle, Outbox outbox, Collection<JobState> jobs) {
		this.lifecycle = lifecycle;
		this.outbox = outbox;
		this.jobs = jobs;
	}

	/**
	 * Ends the runs of an instance. If it crashed, records the crash for their tasks and
	 * gives up those that are proven to be the cause.
	 */
	void handle(LostInstance instance, Moment now) {
		if (instance.announced()) {
			instance.runs().forEach((task) -> lose(task, instance, RunEndCause.VM_LOST, now));
			return;
		}
		List<SuspectRun> suspects = suspects(instance);
		if (instance.runs().isEmpty() && suspects.isEmpty()) {
			return;
		}
		Set<JobState> likely = likelyCauses(suspects);
		Map<SuspectRun, VmCrash> crashes = new LinkedHashMap<>();
		suspects.forEach((run) -> crashes.put(run, new VmCrash(instance.vm(), now.wallMs(),
				run.ageAt(instance.failedAt()), evidence(run, suspects, likely))));
		crashes.forEach((run, crash) -> {
			run.task().crashes.add(crash);
			run.task().recordedRun = run.run();
			run.task().step.job.unstored = true;
		});
		report(instance, suspects, likely, now);
		instance.runs().forEach((task) -> lose(task, instance, RunEndCause.VM_CRASHED, now));
		suspects.stream()
			.map(SuspectRun::task)
			.filter((task) -> CrashSuspicion.conclusive(task.crashes, task.step.spec.gang())
					&& !task.step.job.phase.ended())
			.forEach((task) -> giveUp(task, now));
	}

	/**
	 * Ends a run. The instance that now has the id may have begun it, too: by a start
	 * command without an answer, or by one that was answered after that instance was
	 * asked, or it began the run earlier and was told to stop it, and does not list it
	 * meanwhile. A stop rules the run out there before the task is placed again.
	 */
	private void lose(TaskState task, LostInstance instance, RunEndCause cause, Moment now) {
		boolean stopping = task.phase == TaskPhase.STOPPING;
		if (instance.successor().isEmpty() || !(stopping || task.mayHaveBegunSince(instance.askedAt()))) {
			this.lifecycle.runLost(task, cause,
					RunOver.of(task, RunOverEvidence.INSTANCE_GONE, instance.answeredAt(), now), instance.evidence(),
					now);
			return;
		}
		task.boot = instance.successor().getAsLong();
		task.phase = TaskPhase.STOPPING;
		task.stopCause = cause;
		task.commandIssuedAt = 0;
		task.ruledOutFrom = 0;
		task.listed = false;
		task.startedAt = (stopping || task.startAnsweredAt >= instance.askedAt()) ? task.startedAt : 0;
		task.step.job.unstored = true;
	}

	/**
	 * Returns the runs that may have run at the time of the crash, without those that
	 * have lasted for so long that they are not its cause.
	 */
	private static List<SuspectRun> suspects(LostInstance instance) {
		return Stream
			.concat(instance.runs()
				.stream()
				.filter(TaskState::mayHaveCrashedItsVm)
				.map((task) -> SuspectRun.of(task, instance.answeredAt())), instance.lapsedRuns().stream())
			.filter((run) -> run.ageAt(instance.failedAt()) <= LONGEST_SUSPICION_MS)
			.toList();
	}

	/**
	 * Returns the jobs whose tasks may have caused the crash. A job fails as a whole, so
	 * it need not be known which of its tasks it was.
	 */
	private static Set<JobState> likelyCauses(List<SuspectRun> suspects) {
		return suspects.stream()
			.filter((run) -> likely(run, suspects))
			.map((run) -> run.task().step.job)
			.collect(Collectors.toSet());
	}

	/**
	 * Whether no other run is more likely the cause. An isolated task is at any age:
	 * beside it, only a run that has started after its exclusion is.
	 */
	private static boolean likely(SuspectRun run, List<SuspectRun> suspects) {
		if (suspects.stream().anyMatch(SuspectRun::isolated)) {
			return run.isolated() || run.recent();
		}
		return !run.unlikely() || suspects.stream().allMatch(SuspectRun::unlikely);
	}

	private static Evidence evidence(SuspectRun run, List<SuspectRun> suspects, Set<JobState> likely) {
		if (run.unconfirmed()) {
			return Evidence.UNCONFIRMED;
		}
		if (!likely(run, suspects)) {
			return Evidence.BYSTANDER;
		}
		return (likely.size() > 1) ? Evidence.SUSPECT : Evidence.ONLY_SUSPECT;
	}

	private void report(LostInstance instance, List<SuspectRun> suspects, Set<JobState> likely, Moment now) {
		List<String> runs = new ArrayList<>();
		for (SuspectRun run : suspects) {
			VmCrash crash = run.task().crashes.getLast();
			runs.add(run.task().id() + " " + crash.age() + ", " + crash.evidence() + (run.unconfirmed()
					? ", may not have started" : ", crash " + run.task().crashes.size() + " under it"));
		}
		Set<String> teams = suspects.stream()
			.filter((run) -> !run.unconfirmed() && likely.contains(run.task().step.job))
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
		this.jobs.stream().filter((other) -> !other.phase.ended()).forEach((other) -> clear(other, task));
	}

	/**
	 * Clears the tasks of a job of the crashes for which a task was given up.
	 */
	private static void clear(JobState job, TaskState culprit) {
		for (StepState step : job.steps) {
			for (TaskState task : step.tasks) {
				task.crashes.replaceAll((crash) -> {
					boolean explained = culprit.crashes.stream().anyMatch(crash::sameAs);
					job.unstored |= explained;
					return explained ? crash.explained() : crash;
				});
			}
		}
	}

}
