package org.citronrelay.internal.holder;

import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

import io.vavr.control.Either;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.gang.DomainEvent.StoreResult;
import org.citronrelay.internal.gang.Effect;
import org.citronrelay.internal.platform.WorkerTasks;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * Carries out what the scheduler decided and reports what came of it.
 */
final class EffectRunner {

	/** The epoch of a process that may not act. */
	static final long NO_EPOCH = 0;

	private final WorkerTasks workers;

	private final JobStore jobs;

	private final String failureDomain;

	private final ExecutorService executor;

	private final Consumer<DomainEvent> events;

	private final LongSupplier epoch;

	private final Consumer<Effect.Note> notes;

	private final Consumer<Long> staleEpoch;

	/**
	 * Creates a runner.
	 * @param epoch checks that this process may still act and gives its epoch
	 * @param staleEpoch called with the newer epoch that a worker has seen
	 */
	EffectRunner(WorkerTasks workers, JobStore jobs, String failureDomain, ExecutorService executor,
			Consumer<DomainEvent> events, LongSupplier epoch, Consumer<Effect.Note> notes, Consumer<Long> staleEpoch) {
		this.workers = workers;
		this.jobs = jobs;
		this.failureDomain = failureDomain;
		this.executor = executor;
		this.events = events;
		this.epoch = epoch;
		this.notes = notes;
		this.staleEpoch = staleEpoch;
	}

	void run(Effect effect) {
		if (effect instanceof Effect.Note note) {
			this.notes.accept(note);
			return;
		}
		this.executor.execute(() -> this.events.accept(outcome(effect)));
	}

	private DomainEvent outcome(Effect effect) {
		return switch (effect) {
			case Effect.Command command -> new DomainEvent.Replied(command, watched(command(command)));
			case Effect.Renew renew -> new DomainEvent.Renewed(renew.vm(), renew.sentAt(), watched(
					this.workers.renew(renew.address(), this.epoch.getAsLong(), renew.tasks(), renew.leaseMs())));
			case Effect.Store store -> new DomainEvent.Stored(store.record(), store(store));
			case Effect.Note _ -> new DomainEvent.Tick();
		};
	}

	private StoreResult store(Effect.Store store) {
		boolean mayAct = this.epoch.getAsLong() != NO_EPOCH;
		return mayAct ? this.jobs.replace(this.failureDomain, store.record(), store.revision())
				: new StoreResult.Unavailable("not the holder any more");
	}

	private Either<WorkerFailure, TaskReport> command(Effect.Command command) {
		String task = command.member().task().toString();
		return acting((current) -> switch (command) {
			case Effect.Reserve reserve ->
				this.workers.reserve(reserve.member().address(), current, reserve.reservation());
			case Effect.Start start -> this.workers.start(start.member().address(), current, task);
			case Effect.End end -> this.workers.end(end.member().address(), current, task, end.mode());
		});
	}

	/**
	 * Acts with the present epoch, or not at all when this process may not act any more.
	 */
	private <T> Either<WorkerFailure, T> acting(LongFunction<Either<WorkerFailure, T>> action) {
		long current = this.epoch.getAsLong();
		return (current == NO_EPOCH) ? Either.left(new WorkerFailure.Unreachable("not the holder any more", false))
				: action.apply(current);
	}

	private <T> Either<WorkerFailure, T> watched(Either<WorkerFailure, T> result) {
		if (result.isLeft() && result.getLeft() instanceof WorkerFailure.StaleEpoch stale) {
			this.staleEpoch.accept(stale.newest());
		}
		return result;
	}

}
