package org.citronrelay.internal.holder;

import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

import io.vavr.control.Either;
import org.citronrelay.internal.gang.DomainEffect;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.gang.DomainEvent.StoreResult;
import org.citronrelay.internal.platform.WorkerTasks;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * Executes the effects that the scheduler decided on and reports their results as events.
 */
final class EffectRunner {

	/** The epoch of a process that does not hold the failure domain. */
	static final long NO_EPOCH = 0;

	private final WorkerTasks workers;

	private final JobStore jobs;

	private final String failureDomain;

	private final ExecutorService executor;

	private final Consumer<DomainEvent> eventListener;

	private final LongSupplier currentEpoch;

	private final Consumer<DomainEffect.ReportProgress> progressListener;

	private final Consumer<Long> staleEpochListener;

	/**
	 * Creates a runner.
	 * @param eventListener receives the result of each effect
	 * @param currentEpoch returns the epoch of this process, or {@link #NO_EPOCH} when it
	 * no longer holds the failure domain
	 * @param progressListener called when a job starts or ends
	 * @param staleEpochListener called with the newer epoch that a worker has seen
	 */
	EffectRunner(WorkerTasks workers, JobStore jobs, String failureDomain, ExecutorService executor,
			Consumer<DomainEvent> eventListener, LongSupplier currentEpoch,
			Consumer<DomainEffect.ReportProgress> progressListener, Consumer<Long> staleEpochListener) {
		this.workers = workers;
		this.jobs = jobs;
		this.failureDomain = failureDomain;
		this.executor = executor;
		this.eventListener = eventListener;
		this.currentEpoch = currentEpoch;
		this.progressListener = progressListener;
		this.staleEpochListener = staleEpochListener;
	}

	/**
	 * Executes an effect on another thread; progress reports are passed on at once, on
	 * the calling thread.
	 */
	void run(DomainEffect effect) {
		if (effect instanceof DomainEffect.ReportProgress progress) {
			this.progressListener.accept(progress);
			return;
		}
		this.executor.execute(() -> this.eventListener.accept(execute(effect)));
	}

	private DomainEvent execute(DomainEffect effect) {
		return switch (effect) {
			case DomainEffect.Command command ->
				new DomainEvent.CommandCompleted(command, reportStaleEpoch(command(command)));
			case DomainEffect.Renew renew ->
				new DomainEvent.RenewalCompleted(renew.vm(), renew.sentAt(), reportStaleEpoch(this.workers
					.renew(renew.address(), this.currentEpoch.getAsLong(), renew.tasks(), renew.leaseMs())));
			case DomainEffect.Store store -> new DomainEvent.StoreCompleted(store.record(), store(store));
			case DomainEffect.ReportProgress _ -> new DomainEvent.Tick();
		};
	}

	private StoreResult store(DomainEffect.Store store) {
		boolean holds = this.currentEpoch.getAsLong() != NO_EPOCH;
		return holds ? this.jobs.replace(this.failureDomain, store.record(), store.revision())
				: new StoreResult.Unavailable("this process no longer holds the failure domain");
	}

	private Either<WorkerFailure, TaskReport> command(DomainEffect.Command command) {
		String task = command.member().task().toString();
		return withCurrentEpoch((epoch) -> switch (command) {
			case DomainEffect.Reserve reserve ->
				this.workers.reserve(reserve.member().address(), epoch, reserve.reservation());
			case DomainEffect.Start start -> this.workers.start(start.member().address(), epoch, task);
			case DomainEffect.End end -> this.workers.end(end.member().address(), epoch, task, end.mode());
		});
	}

	/**
	 * Calls the action with the current epoch; fails without a call when this process no
	 * longer holds the failure domain.
	 */
	private <T> Either<WorkerFailure, T> withCurrentEpoch(LongFunction<Either<WorkerFailure, T>> action) {
		long epoch = this.currentEpoch.getAsLong();
		return (epoch == NO_EPOCH)
				? Either.left(new WorkerFailure.Unreachable("this process no longer holds the failure domain", false))
				: action.apply(epoch);
	}

	/**
	 * Returns the result unchanged, after telling the listener if a worker refused the
	 * call because it has seen a newer epoch.
	 */
	private <T> Either<WorkerFailure, T> reportStaleEpoch(Either<WorkerFailure, T> result) {
		if (result.isLeft() && result.getLeft() instanceof WorkerFailure.StaleEpoch stale) {
			this.staleEpochListener.accept(stale.newest());
		}
		return result;
	}

}
