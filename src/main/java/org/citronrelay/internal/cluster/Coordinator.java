package org.citronrelay.internal.cluster;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.JobCodec;
import org.citronrelay.internal.cluster.CoordinatorEvent.CancelForgotten;
import org.citronrelay.internal.cluster.CoordinatorEvent.CancelStored;
import org.citronrelay.internal.cluster.CoordinatorEvent.CatalogueChanged;
import org.citronrelay.internal.cluster.CoordinatorEvent.JobForgotten;
import org.citronrelay.internal.cluster.CoordinatorEvent.JobRemoved;
import org.citronrelay.internal.cluster.CoordinatorEvent.JobStored;
import org.citronrelay.internal.cluster.CoordinatorEvent.RenewalEnded;
import org.citronrelay.internal.cluster.CoordinatorEvent.StartAnswered;
import org.citronrelay.internal.cluster.CoordinatorEvent.StopAnswered;
import org.citronrelay.internal.cluster.CoordinatorEvent.VmDeregistered;
import org.citronrelay.internal.cluster.CoordinatorEvent.VmRegistered;
import org.citronrelay.internal.cluster.CoordinatorEvent.WriteEnded;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.schedule.ClusterScheduler;
import org.citronrelay.internal.schedule.Moment;
import org.citronrelay.internal.schedule.ProgressWrite;
import org.citronrelay.internal.schedule.StartAnswer;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * Runs one term of a coordinator: passes events to the {@link ClusterScheduler}, carries
 * out the effects that it decides on, and stores the progress of jobs.
 */
final class Coordinator {

	/** How long a round waits for an event before it decides without one, in ms. */
	private static final long EVENT_WAIT_MS = 50;

	/** The least pause after a round, in which events accumulate, in milliseconds. */
	private static final long MIN_ROUND_PAUSE_MS = 3;

	/**
	 * The inverse of the largest share of its time that the coordinator spends in rounds.
	 */
	private static final int ROUND_TIME_DIVISOR = 4;

	/** The pause after a failed read or write, in milliseconds. */
	private static final long RETRY_MS = 100;

	/** How long one watch call waits for changes, in milliseconds. */
	private static final long WATCH_TIMEOUT_MS = 2_000;

	/**
	 * The pause between two watch calls for VM registrations, in which changes
	 * accumulate, in milliseconds.
	 */
	private static final long VM_WATCH_PAUSE_MS = 250;

	private final BlockingQueue<CoordinatorEvent> events = new LinkedBlockingQueue<>();

	private final Dependencies dependencies;

	private final Term term;

	private final ClusterScheduler scheduler;

	private volatile ClusterScheduler.Statistics statistics;

	private final DecisionStatistics decisions;

	private final Housekeeping housekeeping;

	private final EffectExecutor effects;

	/** The jobs whose stored progress cannot be read; they are not scheduled. */
	private final Set<String> unreadableJobs = new HashSet<>();

	private boolean writeInProgress;

	Coordinator(Dependencies dependencies, Term term) {
		this.dependencies = dependencies;
		this.term = term;
		this.scheduler = new ClusterScheduler(dependencies.settings().coordination().timings(), now());
		this.statistics = this.scheduler.statistics();
		this.housekeeping = new Housekeeping(dependencies.store(), dependencies.executor(), term.token(),
				dependencies.settings().keepEndedMs(), this::enqueue);
		this.effects = new EffectExecutor(dependencies, term, this::enqueue);
		this.decisions = new DecisionStatistics(dependencies.metrics(), dependencies.ticker().millis());
	}

	/**
	 * Loads the stored jobs and then decides round by round until the term has ended. An
	 * unexpected error ends the term; {@link Election} logs it and lets others go first.
	 */
	void run() {
		PrefixWatcher work = new PrefixWatcher(this.dependencies.store(), StoreKeys.WORK, WATCH_TIMEOUT_MS, 0,
				this::workWritten, this::workRemoved);
		PrefixWatcher vms = new PrefixWatcher(this.dependencies.store(), this.dependencies.recordReader().vmPrefix(),
				WATCH_TIMEOUT_MS, VM_WATCH_PAUSE_MS, this::vmWritten, this::vmRemoved);
		if (!load(work, vms)) {
			return;
		}
		Thread.ofVirtual().name("work-feed").start(() -> work.follow(() -> !this.term.ended()));
		Thread.ofVirtual().name("vm-feed").start(() -> vms.follow(() -> !this.term.ended()));
		while (!this.term.ended()) {
			runRound();
		}
	}

	/**
	 * Queues an event for the next round; may be called from any thread.
	 */
	void enqueue(CoordinatorEvent event) {
		this.events.add(event);
	}

	/**
	 * Returns the latest statistics for the metrics.
	 */
	ClusterScheduler.Statistics statistics() {
		return this.statistics;
	}

	/**
	 * Loads jobs, their progress and VMs from the store, and retries until all were read.
	 * @return false if the term ended before
	 */
	private boolean load(PrefixWatcher work, PrefixWatcher vms) {
		long began = this.dependencies.ticker().millis();
		enqueue(new CatalogueChanged(this.dependencies.catalogue().current()));
		while (!this.term.ended()) {
			if (work.load() && loadProgress() && vms.load()) {
				this.term.storeCallSucceeded();
				this.dependencies.metrics().recordTerm(this.dependencies.ticker().millis() - began);
				Part.HOLDER.logger()
					.atInfo()
					.addKeyValue("token", this.term.token())
					.addKeyValue("loadMs", this.dependencies.ticker().millis() - began)
					.addKeyValue("statistics", this.scheduler.statistics())
					.log("Loaded jobs, progress and VMs from the store; the coordinator starts to schedule.");
				return true;
			}
			this.term.storeCallFailed(now());
			Pause.millis(RETRY_MS);
		}
		return false;
	}

	private boolean loadProgress() {
		applyEvents(0);
		return this.dependencies.store()
			.list(StoreKeys.PROGRESS)
			.peek((snapshot) -> snapshot.entries().forEach(this::restoreProgress))
			.peekLeft((failure) -> Part.PLATFORM.logger()
				.atWarn()
				.addKeyValue("reason", failure.message())
				.log("Could not load the progress of jobs; loads everything again."))
			.isRight();
	}

	/**
	 * Restores the progress of one job. A job whose progress cannot be read is left
	 * alone: if it were scheduled from its beginning, its tasks could run twice.
	 */
	private void restoreProgress(KvEntry entry) {
		String job = entry.key().substring(StoreKeys.PROGRESS.length());
		boolean restored = ErrorBoundary.run("read the progress of job " + job,
				() -> this.scheduler.restoreProgress(job, entry.value(), entry.revision(), now()));
		if (!restored) {
			this.unreadableJobs.add(job);
			this.scheduler.jobRemoved(job);
		}
	}

	private void runRound() {
		applyEvents(EVENT_WAIT_MS);
		long began = this.dependencies.ticker().millis();
		Moment now = now();
		this.scheduler.advance(now, this.term.holdsLease(now));
		this.scheduler.effects().forEach(this.effects::execute);
		write();
		this.statistics = this.housekeeping.run(this.scheduler, this.dependencies.ticker().millis());
		this.decisions.recordRound(began, this.dependencies.ticker().millis());
		Pause.millis(
				Math.max(MIN_ROUND_PAUSE_MS, (this.dependencies.ticker().millis() - began) * (ROUND_TIME_DIVISOR - 1)));
	}

	private void applyEvents(long waitMs) {
		try {
			List<CoordinatorEvent> pending = new ArrayList<>();
			CoordinatorEvent first = this.events.poll(waitMs, TimeUnit.MILLISECONDS);
			if (first != null) {
				pending.add(first);
			}
			this.events.drainTo(pending);
			pending.forEach(this::apply);
		}
		catch (InterruptedException ex) {
			this.term.end();
			Thread.currentThread().interrupt();
		}
	}

	private void apply(CoordinatorEvent event) {
		Moment now = now();
		switch (event) {
			case JobStored stored -> jobStored(stored.job(), now);
			case CancelStored stored -> this.scheduler.cancelRequested(stored.job(), stored.revision(), now);
			case CancelForgotten forgotten ->
				this.scheduler.cancelRequestForgotten(forgotten.job(), forgotten.revision());
			case JobRemoved removed -> this.scheduler.recordRemoved(removed.job());
			case JobForgotten forgotten -> this.scheduler.jobForgotten(forgotten.job(), forgotten.revision());
			case VmRegistered registered -> ErrorBoundary.run("apply a registration",
					() -> this.scheduler.vmRegistered(registered.registration(), now));
			case VmDeregistered deregistered -> this.scheduler.vmDeregistered(deregistered.vm());
			case CatalogueChanged changed -> this.scheduler.catalogue(changed.catalogue());
			case RenewalEnded renewal -> renewalEnded(renewal, now);
			case StartAnswered answered -> startAnswered(answered, now);
			case StopAnswered answered -> this.scheduler.stopAnswered(answered.task(), answered.run(), now);
			case WriteEnded ended -> writeEnded(ended);
		}
	}

	/**
	 * Adds a job. One that cannot be scheduled is left alone, or it would end each
	 * coordinator that loads it.
	 */
	private void jobStored(BatchJob job, Moment now) {
		if (!this.unreadableJobs.contains(job.id())
				&& !ErrorBoundary.run("add job " + job.id(), () -> this.scheduler.jobAdded(job, now))) {
			this.unreadableJobs.add(job.id());
			this.scheduler.jobRemoved(job.id());
		}
	}

	private void renewalEnded(RenewalEnded ended, Moment now) {
		this.dependencies.metrics().recordRenewal(ended.answer().isRight());
		ended.answer()
			.peek((answer) -> this.scheduler.renewalAnswered(ended.renewal(), answer, now))
			.peekLeft((noAnswer) -> {
				Part.WORKER.logger()
					.atWarn()
					.addKeyValue("vm", ended.renewal().vm().id())
					.addKeyValue("reason", noAnswer.reason())
					.log("A VM did not answer a lease renewal.");
				this.scheduler.renewalUnanswered(ended.renewal(), noAnswer.absence(), now);
			});
	}

	private void startAnswered(StartAnswered answered, Moment now) {
		this.dependencies.metrics().recordStart(answered.answer());
		if (answered.answer() == StartAnswer.FENCED) {
			Part.HOLDER.logger()
				.atWarn()
				.addKeyValue("token", this.term.token())
				.log("A VM refused to start a run because it follows a later coordinator.");
		}
		this.scheduler.startAnswered(answered.task(), answered.run(), answered.answer(), now);
	}

	private void write() {
		if (this.writeInProgress) {
			return;
		}
		List<ProgressWrite> writes = this.scheduler.writes(ProgressTransaction.LIMITS);
		if (writes.isEmpty()) {
			return;
		}
		this.writeInProgress = true;
		ProgressTransaction progress = new ProgressTransaction(this.term.token(), writes);
		this.dependencies.executor().execute(() -> {
			Either<StoreFailure, Long> result = ErrorBoundary.call("store the progress of jobs",
					() -> this.dependencies.store().transact(progress.transaction()),
					(error) -> Either.left(new StoreFailure.Ambiguous("the answer could not be read: " + error)));
			if (result.isLeft() && !(result.getLeft() instanceof StoreFailure.Conflict)) {
				Part.PLATFORM.logger()
					.atWarn()
					.addKeyValue("jobs", writes.size())
					.addKeyValue("reason", result.getLeft().message())
					.log("Could not store the progress of jobs; retries in the next round.");
				Pause.millis(RETRY_MS);
			}
			enqueue(new WriteEnded(progress, result));
		});
	}

	private void writeEnded(WriteEnded ended) {
		this.writeInProgress = false;
		if (ended.result().isLeft() && !ended.result().getLeft().answered()) {
			this.term.storeCallFailed(now());
		}
		else {
			this.term.storeCallSucceeded();
		}
		if (!ended.progress().apply(ended.result(), this.scheduler)) {
			Part.HOLDER.logger()
				.atWarn()
				.addKeyValue("token", this.term.token())
				.addKeyValue("remainingMs", this.term.remainingMs(now()))
				.log("The coordinator key in the store no longer holds this term; stops coordinating.");
			this.term.end();
		}
	}

	/**
	 * Queues the event for a job or cancellation record, reported by the watch or by the
	 * process that stored it.
	 */
	void workWritten(KvEntry entry) {
		if (entry.key().startsWith(StoreKeys.JOBS)) {
			String id = entry.key().substring(StoreKeys.JOBS.length());
			ErrorBoundary.run("read the record of job " + id,
					() -> enqueue(new JobStored(JobCodec.decode(id, entry.value()))));
		}
		else if (entry.key().startsWith(StoreKeys.CANCELS)) {
			enqueue(new CancelStored(entry.key().substring(StoreKeys.CANCELS.length()), entry.revision()));
		}
	}

	private void workRemoved(String key) {
		if (key.startsWith(StoreKeys.JOBS)) {
			enqueue(new JobRemoved(key.substring(StoreKeys.JOBS.length())));
		}
	}

	private void vmWritten(KvEntry entry) {
		String id = entry.key().substring(this.dependencies.recordReader().vmPrefix().length());
		this.dependencies.recordReader()
			.vm(id, entry.value())
			.peek((registration) -> enqueue(new VmRegistered(registration)))
			.peekLeft((findings) -> Part.WORKER.logger()
				.atWarn()
				.addKeyValue("vm", id)
				.addKeyValue("findings", findings.text())
				.log("Ignored a registration that no VM writes."));
	}

	private void vmRemoved(String key) {
		enqueue(new VmDeregistered(key.substring(this.dependencies.recordReader().vmPrefix().length())));
	}

	private Moment now() {
		return new Moment(this.dependencies.ticker().millis(), System.currentTimeMillis());
	}

	/**
	 * The collaborators of a coordinator.
	 *
	 * @param settings the settings of the process
	 * @param store the cluster's store
	 * @param recordReader reads the records that other systems write into the store
	 * @param workerClient sends commands to the VMs
	 * @param catalogue the current queue catalogue
	 * @param executor runs calls to the store and the VMs
	 * @param ticker the monotonic clock
	 * @param metrics the metrics of the process
	 */
	record Dependencies(ClusterSettings settings, ClusterStore store, ExternalRecordReader recordReader,
			WorkerClient workerClient, CatalogueWatch catalogue, Executor executor, Ticker ticker,
			ClusterMetrics metrics) {
	}

}
