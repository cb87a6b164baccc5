package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.http.Address;

/**
 * One task as known to the coordinator. Owned by one {@link ClusterScheduler}.
 */
final class TaskState {

	private static final int ALL_PERCENT = 100;

	/**
	 * How long a long-running task waits for another VM than one on which it failed, in
	 * milliseconds. It has any number of attempts, so that a wrong one costs little.
	 */
	private static final long LONG_RUNNING_AVOIDANCE_MS = 2_000;

	final StepState step;

	final int index;

	TaskPhase phase = TaskPhase.WAITING;

	/** The number of the newest run, 0 before the first. */
	long run;

	int failures;

	String checkpoint = "";

	/** The id of the VM of the newest run, empty before the first run. */
	String vm = "";

	/** The boot of that VM that the run was assigned to, or that has listed it since. */
	long boot;

	/**
	 * When the run was assigned to its VM, in monotonic milliseconds; estimated for a run
	 * of an earlier coordinator.
	 */
	long placedAt;

	/** When the run was first known to run, in monotonic milliseconds; 0 before. */
	long startedAt;

	/** The address of the VM of the newest run, null if unknown. */
	Address address;

	/** The crashes of VMs under runs of the task, oldest first. */
	final List<VmCrash> crashes = new ArrayList<>();

	/**
	 * When the newest run ended before the task was done, in monotonic milliseconds; 0 if
	 * it has not, or under an earlier coordinator.
	 */
	long endedEarlyAt;

	/** The newest run with which a VM has crashed, 0 if there is none. */
	long recordedRun;

	/**
	 * When a command for this run was last issued, in monotonic milliseconds; 0 if it is
	 * due.
	 */
	long commandIssuedAt;

	/**
	 * When the start was last commanded, in monotonic milliseconds; 0 before, and for a
	 * run of an earlier coordinator.
	 */
	long startIssuedAt;

	/**
	 * How many start commands for this run have got no answer. They may have taken effect
	 * or do so later.
	 */
	int unansweredStarts;

	/** When a start command was last answered, in monotonic milliseconds; 0 before. */
	long startAnsweredAt;

	/** Whether the VM has listed the run. */
	boolean listed;

	/**
	 * From when on the VM does not run this run unless it lists it, in monotonic
	 * milliseconds; 0 while the run may still start.
	 */
	long ruledOutFrom;

	/** What rules the run out; meaningless while it may still start. */
	RunOverEvidence ruledOutBy;

	/**
	 * The newest run that counts as over, null if there is none or an earlier coordinator
	 * has ended it.
	 */
	RunOver over;

	/** The orphaned runs that were reported to overlap with the newest run. */
	final Set<String> overlapsReported = new HashSet<>();

	/**
	 * Whether an earlier coordinator placed this run and its VM has not listed it to this
	 * one yet.
	 */
	boolean inherited;

	/** Whether the assignment to the VM is stored, so that the run may be started. */
	boolean recorded;

	/** Why the run was told to stop, null while it was not. */
	RunEndCause stopCause;

	int percent;

	/** When the percentage last rose, in monotonic milliseconds. */
	long progressedAt;

	/** When the run last saved a checkpoint, in monotonic milliseconds. */
	long checkpointedAt;

	/**
	 * The VMs that failed or refused the task, or on which it made no progress, by id,
	 * with the time of the last such run in monotonic milliseconds.
	 */
	final Map<String, Long> avoidedVms = new HashMap<>();

	TaskState(StepState step, int index) {
		this.step = step;
		this.index = index;
	}

	/**
	 * Whether the run may have started on its VM.
	 */
	boolean mayHaveStarted() {
		return this.phase != TaskPhase.PLACED || this.commandIssuedAt > 0 || this.inherited;
	}

	/**
	 * Whether the VM may have begun the run, so that it may be ending it now.
	 */
	boolean mayHaveBegun() {
		return this.listed || this.startedAt > 0 || this.inherited || this.unansweredStarts > 0;
	}

	/**
	 * Whether the run may have been on its VM when the VM went down. A run counts for one
	 * crash only, unless a later instance has listed it: the instance that is told to
	 * stop it may crash, too.
	 */
	boolean mayHaveCrashedItsVm() {
		return mayHaveBegun() && (this.listed || this.recordedRun != this.run);
	}

	/**
	 * Records the answer to a start command, which may arrive after the run was told to
	 * stop.
	 */
	void startAnswered(StartAnswer answer, Moment now) {
		if (answer != StartAnswer.UNKNOWN) {
			this.unansweredStarts--;
			this.startAnsweredAt = now.monotonicMs();
		}
		if (answer == StartAnswer.STARTED && this.startedAt == 0) {
			this.startedAt = now.monotonicMs();
		}
	}

	/**
	 * Whether the VM may have begun the run after it was asked for its runs.
	 * @param askedAt when it was asked, in monotonic milliseconds
	 */
	boolean mayHaveBegunSince(long askedAt) {
		return this.unansweredStarts > 0 || this.startAnsweredAt >= askedAt;
	}

	/**
	 * Whether the VM is known to have been up after the task was placed there.
	 * @param answeredAt when the VM last answered, in monotonic milliseconds
	 */
	boolean vmConfirmedBy(long answeredAt) {
		return this.startedAt > 0 || this.inherited || answeredAt > this.placedAt;
	}

	/**
	 * Records that the VM will not start this run any more. The first time counts, also
	 * if a repeated command confirms it again: a renewal sent after it tells whether the
	 * run exists.
	 * @param from when a run that has started will have ended
	 * @param evidence what the VM has confirmed
	 */
	void ruledOutFrom(Moment from, RunOverEvidence evidence) {
		if (this.ruledOutFrom == 0) {
			this.ruledOutFrom = from.monotonicMs();
			this.ruledOutBy = evidence;
		}
	}

	/**
	 * Whether the VM has listed the run, or confirmed its start, and no end of it is
	 * known.
	 */
	boolean knownToRun() {
		return this.phase.occupiesCapacity() && this.startedAt > 0;
	}

	/**
	 * Keeps the newest run as over, before the task is placed again.
	 */
	void keepPreviousRun() {
		if (this.run > 0 && (this.over == null || this.over.run() != this.run)) {
			this.over = RunOver.unestablished(this.run, this.vm, this.boot, RunOverEvidence.EARLIER_COORDINATOR);
		}
	}

	/**
	 * Returns what is known of the end of a run other than the newest one.
	 * @param vm the VM that has listed it
	 */
	RunOver earlierRun(long run, VmState vm) {
		if (this.over != null && this.over.run() == run && this.over.vm().equals(vm.id())) {
			return this.over;
		}
		return RunOver.unestablished(run, vm.id(), vm.registration.boot(),
				(this.over == null) ? RunOverEvidence.EARLIER_COORDINATOR : RunOverEvidence.SUPERSEDED);
	}

	/**
	 * Whether the run had outlasted its probation when its VM last answered.
	 * @param answeredAt when the VM last answered, in monotonic milliseconds
	 */
	boolean provenAt(long answeredAt) {
		return this.startedAt > 0 && answeredAt - this.startedAt >= CrashSuspicion.probationMs(this.crashes);
	}

	/**
	 * Whether runs of the task are started under guard, as it may crash its VM.
	 */
	boolean guarded() {
		return !this.crashes.isEmpty() && CrashSuspicion.guarded(this.crashes);
	}

	/**
	 * Whether the task was there when a VM crashed, and no other task explains that.
	 */
	boolean suspected() {
		return !this.crashes.isEmpty() && CrashSuspicion.suspected(this.crashes);
	}

	/**
	 * Whether runs of the task are kept apart from others, as it has crashed VMs before
	 * or was there when others did.
	 */
	boolean isolated() {
		return !this.crashes.isEmpty() && CrashSuspicion.isolated(this.crashes);
	}

	/**
	 * Returns from when on the run will have outlasted its probation, in monotonic
	 * milliseconds.
	 * @param now the current time in monotonic milliseconds
	 */
	long provenFrom(long now) {
		return ((this.startedAt > 0) ? this.startedAt : now) + CrashSuspicion.probationMs(this.crashes);
	}

	/**
	 * Whether the task waits for another VM rather than start on this one.
	 * @param now the current time in monotonic milliseconds
	 */
	boolean waitsForOtherThan(String vm, long now) {
		Long failedAt = this.avoidedVms.get(vm);
		return failedAt != null
				&& (!this.step.spec.shape().longRunning() || now - failedAt < LONG_RUNNING_AVOIDANCE_MS);
	}

	Resources needs() {
		return this.step.spec.taskResources();
	}

	TaskId id() {
		return new TaskId(this.step.job.id(), this.step.occurrence, this.step.number, this.index);
	}

	/**
	 * Returns when the run is expected to end, by its progress, or by its estimate while
	 * it has not reported any.
	 * @param now the current time in monotonic milliseconds
	 * @return a time in monotonic milliseconds, {@link Long#MAX_VALUE} for a long-running
	 * task
	 */
	long expectedEnd(long now) {
		if (this.step.spec.shape().longRunning()) {
			return Long.MAX_VALUE;
		}
		long remainingMs = (this.percent > 0) ? (now - this.placedAt) * (ALL_PERCENT - this.percent) / this.percent
				: this.step.spec.estimateMs() - (now - this.placedAt);
		return now + Math.max(0, remainingMs);
	}

	/**
	 * Returns the work that would be lost if the run were stopped now, in core-seconds.
	 */
	double unsavedWork(long now) {
		if (!this.phase.occupiesCapacity()) {
			return 0;
		}
		long sinceMs = this.step.spec.checkpoints() ? Math.max(this.checkpointedAt, this.placedAt) : this.placedAt;
		double seconds = Math.max(0, now - sinceMs) / 1_000.0;
		return seconds * needs().coreEquivalents()
				* (this.step.spec.checkpoints() ? StepState.LOSS_AFTER_CHECKPOINTED_STOP : 1);
	}

}
