package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.Queue;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.batch.VmReport;

/**
 * All jobs and VMs of a cluster as one coordinator knows them. Events change it, and
 * {@link #advance} decides what to do next. It belongs to one thread.
 *
 * <pre>
 * book.jobStored(job, now);
 * book.advance(now, true);
 * book.writes(31).forEach(this::store);
 * book.effects().forEach(this::run);
 * </pre>
 */
public final class JobBook {

	private final Map<String, JobState> jobs = new LinkedHashMap<>();

	private final Set<String> cancelRequests = new HashSet<>();

	private final VmRegistry vms;

	private final TaskLifecycle lifecycle;

	private final PlacementRound placement;

	private final Outbox outbox = new Outbox();

	private Map<String, Queue> queues = Map.of();

	private QueueCatalogue catalogue = QueueCatalogue.NONE;

	/**
	 * A book of a coordinator that begins now.
	 */
	public JobBook(ScheduleTimings timings, Moment now) {
		this.vms = new VmRegistry(timings, now);
		this.lifecycle = new TaskLifecycle(this.vms, this.outbox, timings);
		this.placement = new PlacementRound(this.vms, this.lifecycle, this.outbox);
	}

	/**
	 * Takes in a version of the queues.
	 */
	public void catalogue(QueueCatalogue newest) {
		this.catalogue = newest;
		this.queues = newest.queues();
		this.jobs.values().forEach(this::applyQueue);
	}

	/**
	 * Takes in a job that is stored.
	 */
	public void jobStored(BatchJob job, Moment now) {
		if (!this.jobs.containsKey(job.id())) {
			JobState state = new JobState(job);
			this.jobs.put(job.id(), state);
			applyQueue(state);
			cancelIfRequested(state, now);
		}
	}

	/**
	 * Takes in the stored progress of a job, left by an earlier coordinator.
	 */
	public void progressStored(String jobId, byte[] document, long revision, Moment now) {
		JobState job = this.jobs.get(jobId);
		if (job == null) {
			return;
		}
		ProgressCodec.decode(document, job);
		job.revision = revision;
		job.endedAt = now.ticks();
		for (StepState step : job.steps) {
			step.tasks.stream()
				.filter((task) -> task.phase.occupiesCapacity())
				.forEach((task) -> this.vms.adopt(task, now));
			this.lifecycle.resetEndedGang(step);
		}
		cancelIfRequested(job, now);
	}

	/**
	 * Takes in that a caller took a job back.
	 */
	public void cancelled(String jobId, Moment now) {
		this.cancelRequests.add(jobId);
		JobState job = this.jobs.get(jobId);
		if (job != null) {
			cancelIfRequested(job, now);
		}
	}

	/**
	 * Forgets a job whose records are gone.
	 */
	public void forget(String jobId) {
		this.jobs.remove(jobId);
		this.cancelRequests.remove(jobId);
	}

	/**
	 * Takes in what a VM said of itself.
	 */
	public void vmSeen(VmReport report, Moment now) {
		this.vms.registered(report).forEach((task) -> this.lifecycle.runLost(task, now, "the VM started again"));
	}

	/**
	 * Takes in that a VM is no longer registered. What it runs is kept until its lease
	 * has surely ended.
	 */
	public void vmGone(String vm, Moment now) {
		this.vms.deregistered(vm, now);
	}

	/**
	 * Takes in what a VM answered to a renewal.
	 */
	public void answered(String vm, VmAnswer answer, Moment now) {
		VmState state = this.vms.find(vm);
		if (state == null) {
			return;
		}
		this.vms.restarted(state, answer.boot())
			.forEach((task) -> this.lifecycle.runLost(task, now, "the VM started again"));
		if (answer.boot() == state.report.boot()) {
			this.vms.renewalAnswered(state, answer.clockMs(), now);
			new VmAnswerHandler(this.lifecycle, this.outbox, this::task).handle(state, answer, now);
		}
	}

	/**
	 * Takes in that a renewal was not answered.
	 * @param nobodyThere whether the VM's machine said that the VM is not there
	 */
	public void unanswered(String vm, boolean nobodyThere, Moment now) {
		this.vms.renewalUnanswered(vm, now);
		this.vms.runsEndedByShutdown(vm, nobodyThere)
			.forEach((task) -> this.lifecycle.runLost(task, now, "the VM has left"));
	}

	/**
	 * Takes in what a VM answered to an order to start a run.
	 */
	public void startAnswered(TaskId id, long run, StartAnswer answer, Moment now) {
		TaskState task = task(id);
		if (task != null && task.run == run && task.phase.occupiesCapacity()) {
			this.lifecycle.startAnswered(task, answer, now);
		}
	}

	/**
	 * Takes in that a VM has obeyed an order to stop a run.
	 */
	public void stopAnswered(TaskId id, long run, Moment now) {
		TaskState task = task(id);
		if (task != null && task.run == run && task.phase == TaskPhase.STOPPING) {
			task.cannotStartSince = now.ticks();
		}
	}

	/**
	 * Decides what to do next.
	 * @param sure whether no other coordinator can exist, so that leases may be extended
	 * and runs started
	 */
	public void advance(Moment now, boolean sure) {
		this.vms.removeUnregistered();
		for (VmState vm : this.vms.all()) {
			if (!vm.tasks.isEmpty() && this.vms.leaseLapsed(vm, now)) {
				vm.tasks.stream()
					.filter(TaskState::mayHaveStarted)
					.toList()
					.forEach((task) -> this.lifecycle.runLost(task, now, "the lease of the VM ended"));
			}
			this.lifecycle.stopStalledRuns(vm, now);
			if (sure) {
				this.lifecycle.issueOrders(vm, now);
			}
			this.vms.dueRenewal(vm, now, sure).ifPresent(this.outbox::add);
		}
		if (sure) {
			this.placement.run(this.jobs.values(), this.catalogue.teams(), now);
		}
	}

	/**
	 * What is to be done outside, in order; each effect is handed out once.
	 */
	public List<Effect> effects() {
		return this.outbox.drain();
	}

	/**
	 * The progress to store next; each stays under way until it was stored or not.
	 */
	public List<Write> writes(int most) {
		List<Write> writes = new ArrayList<>();
		for (JobState job : this.jobs.values()) {
			if (writes.size() == most) {
				break;
			}
			if (job.unstored && !job.storing) {
				job.unstored = false;
				job.storing = true;
				List<Runnable> after = job.afterStore;
				job.afterStore = new ArrayList<>();
				writes.add(new Write(job.id(), ProgressCodec.encode(job), job.revision, after));
			}
		}
		return writes;
	}

	/**
	 * Takes in that progress was stored.
	 */
	public void stored(Write write, long revision) {
		JobState job = this.jobs.get(write.job());
		if (job != null) {
			job.storing = false;
			job.revision = revision;
			write.after().forEach(Runnable::run);
		}
	}

	/**
	 * Takes in that progress was not stored, as far as is known; it will be written
	 * again.
	 * @param revision the revision of what is stored instead
	 */
	public void notStored(Write write, long revision) {
		JobState job = this.jobs.get(write.job());
		if (job != null) {
			job.storing = false;
			job.revision = revision;
			job.unstored = true;
			job.afterStore.addAll(0, write.after());
		}
	}

	/**
	 * The jobs that ended before a point in time and whose progress is stored.
	 * @param before the point in time, in ticks
	 */
	public List<String> endedBefore(long before) {
		return this.jobs.values()
			.stream()
			.filter((job) -> job.phase.ended() && job.endedAt < before && !job.unstored && !job.storing
					&& !job.occupiesCapacity())
			.map(JobState::id)
			.toList();
	}

	/**
	 * How many jobs of each queue have not begun, those with times left out.
	 */
	public Map<String, Integer> waiting() {
		Map<String, Integer> waiting = new TreeMap<>();
		for (JobState job : this.jobs.values()) {
			if (job.phase == JobPhase.QUEUED && job.spec.repeat().times() == 0) {
				waiting.merge(job.spec.queue(), 1, Integer::sum);
			}
		}
		return waiting;
	}

	/**
	 * The figures that operators watch.
	 */
	public Figures figures() {
		Map<JobPhase, Integer> phases = new HashMap<>();
		this.jobs.values().forEach((job) -> phases.merge(job.phase, 1, Integer::sum));
		int running = this.vms.all().stream().mapToInt((vm) -> vm.tasks.size()).sum();
		return new Figures(phases, running, this.vms.all().size(), this.lifecycle.wastedCoreSeconds());
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
	 * Ends a job that was taken back; the word of that may come before the job itself.
	 */
	private void cancelIfRequested(JobState job, Moment now) {
		if (this.cancelRequests.contains(job.id()) && !job.phase.ended()) {
			this.outbox.note(job.id(), "job cancelled", "was " + job.phase);
			this.lifecycle.endJob(job, JobPhase.CANCELLED, now);
		}
	}

	private void applyQueue(JobState job) {
		Queue queue = this.queues.get(job.spec.queue());
		if (queue != null) {
			job.pool = queue.pool();
			job.priority = queue.priority();
			job.maxAttempts = queue.maxAttempts();
			job.targetMs = (long) (queue.slack() * job.criticalPathMs) + queue.objectiveMs();
		}
	}

	/**
	 * Progress that is to be stored.
	 *
	 * @param job the job's id
	 * @param document the progress
	 * @param revision the revision that it replaces, 0 for none
	 * @param after what follows once it is stored
	 */
	public record Write(String job, byte[] document, long revision, List<Runnable> after) {
	}

	/**
	 * The figures that operators watch.
	 *
	 * @param jobs how many jobs are in each phase
	 * @param placed how many tasks have a VM
	 * @param vms how many VMs are known
	 * @param wasted work that was thrown away, in core-seconds
	 */
	public record Figures(Map<JobPhase, Integer> jobs, int placed, int vms, double wasted) {

		/** The figures of a process that coordinates nothing. */
		public static final Figures NONE = new Figures(Map.of(), 0, 0, 0);

		public Figures {
			jobs = Map.copyOf(jobs);
		}

	}

}
