package org.citronrelay.internal.schedule;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.Queue;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.batch.VmRegistration;

/**
 * All jobs and VMs of a cluster as known to one coordinator. Events update it, and
 * {@link #advance} decides what to do next. Not thread-safe.
 *
 * <pre>
 * scheduler.jobAdded(job, now);
 * scheduler.advance(now, true);
 * scheduler.writes(limits).forEach(this::store);
 * scheduler.effects().forEach(this::run);
 * </pre>
 */
public final class ClusterScheduler {

	private final Map<String, JobState> jobs = new LinkedHashMap<>();

	private final EndedJobs endedJobs = new EndedJobs();

	private final ProgressWrites progressWrites = new ProgressWrites(this.jobs);

	private final CancelRequests cancelRequests = new CancelRequests();

	private final VmRegistry vms;

	private final TaskLifecycle lifecycle;

	private final DuplicateRuns duplicateRuns;

	private final LostInstanceHandler lostInstances;

	private final PlacementRound placement;

	private final Outbox outbox = new Outbox();

	private final ScheduleTimings timings;

	private Map<String, Queue> queues = Map.of();

	private QueueCatalogue catalogue = QueueCatalogue.NONE;

	/**
	 * Creates the scheduler of a coordinator whose term starts now.
	 */
	public ClusterScheduler(ScheduleTimings timings, Moment now) {
		this.timings = timings;
		this.vms = new VmRegistry(timings, now);
		this.duplicateRuns = new DuplicateRuns(this.vms, this.outbox);
		this.lifecycle = new TaskLifecycle(this.vms, this.outbox, this.duplicateRuns, timings);
		this.lostInstances = new LostInstanceHandler(this.lifecycle, this.outbox, this.jobs.values());
		this.placement = new PlacementRound(this.vms, this.lifecycle, this.outbox);
	}

	/**
	 * Applies a version of the queue catalogue to all jobs.
	 */
	public void catalogue(QueueCatalogue newCatalogue) {
		this.catalogue = newCatalogue;
		this.queues = newCatalogue.queues();
		this.jobs.values().forEach(this::applyQueue);
	}

	/**
	 * Adds a job that is stored; a job that is already known is ignored. One that differs
	 * from an ended job with its id was submitted after that one's records were removed.
	 */
	public void jobAdded(BatchJob job, Moment now) {
		if (this.endedJobs.contains(job)) {
			return;
		}
		JobState known = this.jobs.get(job.id());
		if (known != null && known.phase.ended() && !known.spec.equals(job)) {
			jobRemoved(job.id());
		}
		if (!this.jobs.containsKey(job.id())) {
			JobState state = new JobState(job);
			this.jobs.put(job.id(), state);
			applyQueue(state);
			cancelIfRequested(state, now);
		}
	}

	/**
	 * Restores the progress that an earlier coordinator stored for a job. Of an unknown
	 * job only its end is of use.
	 */
	public void restoreProgress(String jobId, byte[] document, long revision, Moment now) {
		JobState job = this.jobs.get(jobId);
		if (job == null) {
			this.endedJobs.add(jobId, document, revision, now);
			return;
		}
		ProgressCodec.decode(document, job);
		job.revision = revision;
		job.endedAt = now.monotonicMs();
		for (StepState step : job.steps) {
			step.tasks.stream()
				.filter((task) -> task.phase.occupiesCapacity())
				.forEach((task) -> this.vms.adopt(task, now));
			this.lifecycle.resetEndedGang(step);
		}
		cancelIfRequested(job, now);
	}

	/**
	 * Cancels a job for its caller; if the job is still unknown, as soon as it is added.
	 * @param revision the revision of the stored request, 0 if it is not known
	 */
	public void cancelRequested(String jobId, long revision, Moment now) {
		this.cancelRequests.add(jobId, revision, now);
		JobState job = this.jobs.get(jobId);
		if (job != null) {
			cancelIfRequested(job, now);
		}
	}

	/**
	 * Records that the record of a job was deleted. That of an ended job is deleted with
	 * its end; the job is kept until {@link #jobForgotten}.
	 */
	public void recordRemoved(String jobId) {
		JobState job = this.jobs.get(jobId);
		if (job == null || !job.phase.ended()) {
			jobRemoved(jobId);
		}
	}

	/**
	 * Records that the progress of an ended job was deleted, so that its id is free.
	 * @param revision the revision of the progress that was deleted
	 */
	public void jobForgotten(String jobId, long revision) {
		JobState job = this.jobs.get(jobId);
		if (job != null && job.phase.ended() && job.revision == revision) {
			jobRemoved(jobId);
		}
		this.endedJobs.forget(jobId, revision);
	}

	/** Removes a job that cannot be scheduled. */
	public void jobRemoved(String jobId) {
		this.jobs.remove(jobId);
		this.cancelRequests.remove(jobId);
	}

	/**
	 * Applies the registration of a VM. One of a later boot, or with the address of
	 * another VM, is a reason to ask: the answer tells which instance runs there.
	 */
	public void vmRegistered(VmRegistration registration, Moment now) {
		this.vms.registered(registration, now)
			.forEach((vm) -> this.outbox.note("", "Asking a VM which instance runs there",
					vm.id() + ", boot " + vm.registration.boot() + ": " + registration.id() + " was registered at "
							+ registration.address() + " with boot " + registration.boot()));
	}

	/**
	 * Records that a VM is no longer registered. Its runs count as running until its
	 * lease has lapsed or another instance has answered in its place.
	 */
	public void vmDeregistered(String vm) {
		this.vms.deregistered(vm);
	}

	/**
	 * Applies the answer of a VM to a renewal.
	 */
	public void renewalAnswered(Effect.Renew renewal, VmAnswer answer, Moment now) {
		this.vms.awaiting(renewal).ifPresent((vm) -> {
			this.vms.bootReported(vm, answer, renewal.issuedAt(), now)
				.ifPresent((lost) -> this.lostInstances.handle(lost, now));
			this.vms.renewalAnswered(vm, renewal, answer.clockMs(), now);
			new VmAnswerHandler(this.lifecycle, this.outbox, this.duplicateRuns, this::task, this.timings.stopGraceMs())
				.handle(vm, answer, renewal.issuedAt(), now);
		});
	}

	/**
	 * Records that a renewal was not answered.
	 * @param absence what the failure says about whether the VM still exists
	 */
	public void renewalUnanswered(Effect.Renew renewal, VmAbsence absence, Moment now) {
		this.vms.awaiting(renewal).ifPresent((vm) -> {
			this.vms.renewalUnanswered(vm, now);
			if (absence == VmAbsence.REPLACED) {
				this.vms.replaced(vm, "another instance answered at its address", now)
					.ifPresent((lost) -> this.lostInstances.handle(lost, now));
			}
		});
	}

	/**
	 * Applies the answer of a VM to a start command. Ignored unless the run is the
	 * recorded one of its task.
	 */
	public void startAnswered(TaskId id, long run, StartAnswer answer, Moment now) {
		TaskState task = task(id);
		if (task != null && task.run == run && task.phase.occupiesCapacity()) {
			this.lifecycle.startAnswered(task, answer, now);
		}
	}

	/**
	 * Records that a VM has accepted a stop command, after which the run can no longer
	 * start.
	 */
	public void stopAnswered(TaskId id, long run, Moment now) {
		TaskState task = task(id);
		if (task != null && task.run == run && task.phase == TaskPhase.STOPPING) {
			this.lifecycle.startRuledOut(task, RunOverEvidence.ofAcceptedStop(task.stopCause), now);
		}
	}

	/**
	 * Decides what to do next; {@link #effects} and {@link #writes} return the result.
	 * @param leadershipConfirmed whether no other coordinator can hold leadership; only
	 * then are leases extended and runs started
	 */
	public void advance(Moment now, boolean leadershipConfirmed) {
		this.vms.removeUnregistered(now);
		for (VmState vm : this.vms.all()) {
			if (!vm.tasks.isEmpty() && this.vms.leaseLapsed(vm, now)) {
				List<TaskState> lapsed = vm.tasks.stream()
					.filter((task) -> task.mayHaveStarted() && this.vms.endedWithLease(task, now))
					.toList();
				vm.rememberLapsed(lapsed);
				lapsed.forEach((task) -> this.lifecycle.runLost(task, RunEndCause.LEASE_LAPSED,
						RunOver.of(task, RunOverEvidence.LEASE_LAPSED, vm.answeredAt, now),
						"the lease of the VM has lapsed", now));
			}
			this.lifecycle.stopStalledRuns(vm, now);
			this.lifecycle.evacuate(vm, now);
			StartWithdrawal.excess(vm).forEach((task) -> this.lifecycle.withdraw(task, RunEndCause.NO_CAPACITY, now));
			StartWithdrawal.unstarted(vm).forEach((task) -> this.lifecycle.withdraw(task, RunEndCause.VM_LOST, now));
			StartWithdrawal.unconfirmed(vm, this.timings.stallMs(), now).forEach((task) -> {
				task.avoidedVms.put(vm.id(), now.monotonicMs());
				this.lifecycle.withdraw(task, RunEndCause.STALLED, now);
			});
			if (leadershipConfirmed) {
				this.lifecycle.issueCommands(vm, now);
			}
			this.vms.dueRenewal(vm, now, leadershipConfirmed).ifPresent(this.outbox::add);
		}
		if (leadershipConfirmed) {
			this.placement.run(this.jobs.values(), this.catalogue.teams(), now);
		}
	}

	/**
	 * Returns the effects to carry out, in order. Each effect is returned once.
	 */
	public List<Effect> effects() {
		return this.outbox.drain();
	}

	/**
	 * Returns the progress to store next, one write for each job. A job has no further
	 * write until {@link #writeStored} or {@link #writeNotStored} was called for the last
	 * one.
	 */
	public List<ProgressWrite> writes(WriteLimits limits) {
		return this.progressWrites.choose(limits);
	}

	/**
	 * Records that a write was stored.
	 * @param revision the revision that it was stored under
	 */
	public void writeStored(ProgressWrite write, long revision) {
		this.progressWrites.stored(write, revision);
	}

	/**
	 * Records that a write was not stored or that its outcome is unknown. The progress of
	 * the job is written again.
	 * @param revision the revision that the next write replaces
	 */
	public void writeNotStored(ProgressWrite write, long revision) {
		this.progressWrites.notStored(write, revision);
	}

	/**
	 * Returns the jobs that ended before a point in time, have no run left on a VM and
	 * whose progress is stored, with its revision, by id.
	 * @param before the point in time, in monotonic milliseconds
	 */
	public Map<String, Long> endedBefore(long before) {
		Map<String, Long> ended = new LinkedHashMap<>();
		this.jobs.values()
			.stream()
			.filter((job) -> job.endIsStored() && job.endedAt < before)
			.forEach((job) -> ended.put(job.id(), job.revision));
		this.endedJobs.addEndedBefore(before, ended);
		return ended;
	}

	/**
	 * Returns the requests to cancel a job that was never stored, which became known
	 * before a point in time, with the revisions of their records, by job id.
	 * @param before the point in time, in monotonic milliseconds
	 */
	public Map<String, Long> cancelRequestsWithoutJobBefore(long before) {
		return this.cancelRequests.withoutJobBefore(before, this.jobs::containsKey);
	}

	/** Records that a stored request to cancel a job was removed. */
	public void cancelRequestForgotten(String jobId, long revision) {
		this.cancelRequests.forget(jobId, revision);
	}

	/**
	 * Returns how many jobs of each queue have not started. Jobs with due times are not
	 * counted.
	 */
	public Map<String, Integer> queuedJobsByQueue() {
		Map<String, Integer> queuedJobs = new TreeMap<>();
		for (JobState job : this.jobs.values()) {
			if (job.phase == JobPhase.QUEUED && job.spec.repeat().times() == 0) {
				queuedJobs.merge(job.spec.queue(), 1, Integer::sum);
			}
		}
		return queuedJobs;
	}

	/**
	 * Returns the statistics for the metrics.
	 */
	public Statistics statistics() {
		Map<JobPhase, Integer> phases = new HashMap<>();
		this.jobs.values().forEach((job) -> phases.merge(job.phase, 1, Integer::sum));
		this.endedJobs.addPhases(phases);
		int placed = this.vms.all().stream().mapToInt((vm) -> vm.tasks.size()).sum();
		return new Statistics(phases, placed, this.vms.all().size(), this.lifecycle.wastedCoreSeconds());
	}

	private TaskState task(TaskId id) {
		JobState job = this.jobs.get(id.job());
		if (job == null || id.step() >= job.spec.steps().size() || id.occurrence() >= job.spec.repeat().occurrences()) {
			return null;
		}
		StepState step = job.step(id.occurrence(), id.step());
		return (id.index() < step.tasks.size()) ? step.tasks.get(id.index()) : null;
	}

	/**
	 * Cancels a job whose caller has asked for it; the request may have arrived before
	 * the job.
	 */
	private void cancelIfRequested(JobState job, Moment now) {
		if (this.cancelRequests.contains(job.id()) && !job.phase.ended()) {
			this.outbox.note(job.id(), "Job cancelled at the request of its caller", "phase before: " + job.phase);
			this.lifecycle.endJob(job, JobPhase.CANCELLED, now);
		}
	}

	private void applyQueue(JobState job) {
		Queue queue = this.queues.get(job.spec.queue());
		if (queue != null) {
			job.pool = queue.pool();
			job.priority = queue.priority();
			job.maxAttempts = queue.maxAttempts();
			job.objectiveMs = (long) (queue.slack() * job.criticalPathMs) + queue.objectiveMs();
		}
	}

	/**
	 * Statistics for the metrics.
	 *
	 * @param jobs the number of jobs in each phase
	 * @param placedTasks the number of tasks that are assigned to a VM
	 * @param vms the number of known VMs
	 * @param wastedCoreSeconds the work of runs that was lost, in core-seconds, by cause
	 */
	public record Statistics(Map<JobPhase, Integer> jobs, int placedTasks, int vms,
			Map<RunEndCause, Double> wastedCoreSeconds) {

		/** The statistics of a process that is not the coordinator. */
		public static final Statistics NONE = new Statistics(Map.of(), 0, 0, Map.of());

		public Statistics {
			jobs = Map.copyOf(jobs);
			wastedCoreSeconds = Map.copyOf(wastedCoreSeconds);
		}

	}

}
