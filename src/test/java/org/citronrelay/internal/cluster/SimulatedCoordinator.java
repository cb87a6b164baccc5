package org.citronrelay.internal.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.citronrelay.internal.batch.JobCodec;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.schedule.ClusterScheduler;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.ProgressWrite;

/**
 * Runs one term of a coordinator in virtual time, as {@link Coordinator} does, with the
 * real {@link ClusterScheduler}.
 */
final class SimulatedCoordinator {

	private static final long EVENT_WAIT_MS = 50;

	private static final long ROUND_PAUSE_MS = 5;

	private static final long RETRY_MS = 100;

	private static final long VM_WATCH_PAUSE_MS = 250;

	private final Simulation simulation;

	private final SimulatedProcess process;

	private final Term term;

	private final ClusterScheduler scheduler;

	private final WorkerCalls workers;

	private final SimulatedWatcher work;

	private final SimulatedWatcher vms;

	private final List<Runnable> events = new ArrayList<>();

	/** Numbers the waits for an event, so that only the present one ends in a round. */
	private long wait;

	private boolean waiting;

	private boolean writeInProgress;

	SimulatedCoordinator(Simulation simulation, SimulatedProcess process, Term term) {
		this.simulation = simulation;
		this.process = process;
		this.term = term;
		this.scheduler = new ClusterScheduler(simulation.timings(), process.now());
		this.workers = new WorkerCalls(simulation, process, term);
		this.work = new SimulatedWatcher(process, StoreKeys.WORK, 0, this::workWritten, (key) -> {
		});
		this.vms = new SimulatedWatcher(process, SimulatedStore.VMS, VM_WATCH_PAUSE_MS, this::vmWritten,
				(key) -> enqueue(() -> this.scheduler.vmDeregistered(key.substring(SimulatedStore.VMS.length()))));
	}

	void start() {
		enqueue(() -> this.scheduler.catalogue(this.simulation.catalogue()));
		load();
	}

	private void load() {
		if (this.term.ended()) {
			this.process.termEnded(this.term);
			return;
		}
		this.work.load((loaded) -> then(loaded, () -> loadProgress(
				(restored) -> then(restored, () -> this.vms.load((listed) -> then(listed, this::followAndDecide))))));
	}

	private void then(boolean succeeded, Runnable next) {
		if (succeeded) {
			next.run();
		}
		else {
			this.process.after(RETRY_MS, this::load);
		}
	}

	private void followAndDecide() {
		this.work.follow(() -> !this.term.ended());
		this.vms.follow(() -> !this.term.ended());
		round();
	}

	private void loadProgress(Consumer<Boolean> onEnd) {
		applyEvents();
		this.process.<KvSnapshot>callStore((store, answer) -> answer.accept(store.list(StoreKeys.PROGRESS)), 0,
				(listed) -> {
					listed.peek((snapshot) -> snapshot.entries()
						.forEach((entry) -> this.scheduler.restoreProgress(
								entry.key().substring(StoreKeys.PROGRESS.length()), entry.value(), entry.revision(),
								this.process.now())));
					onEnd.accept(listed.isRight());
				});
	}

	private void enqueue(Runnable event) {
		this.events.add(event);
		if (this.waiting) {
			this.waiting = false;
			this.process.after(0, this::round);
		}
	}

	private void awaitEvent() {
		if (!this.events.isEmpty()) {
			round();
			return;
		}
		this.waiting = true;
		long number = ++this.wait;
		this.process.after(EVENT_WAIT_MS, () -> {
			if (this.waiting && this.wait == number) {
				this.waiting = false;
				round();
			}
		});
	}

	private void round() {
		if (this.term.ended()) {
			this.process.termEnded(this.term);
			return;
		}
		applyEvents();
		this.scheduler.advance(this.process.now(), this.term.holdsLease(this.process.now()));
		List<Effect> effects = this.scheduler.effects();
		this.process.decided(effects);
		effects.forEach(this::execute);
		write();
		this.process.after(ROUND_PAUSE_MS, this::awaitEvent);
	}

	private void applyEvents() {
		List<Runnable> pending = List.copyOf(this.events);
		this.events.clear();
		pending.forEach(Runnable::run);
	}

	private void execute(Effect effect) {
		switch (effect) {
			case Effect.Start start -> this.workers.start(start, (answer) -> enqueue(
					() -> this.scheduler.startAnswered(start.task(), start.run(), answer, this.process.now())));
			case Effect.Stop stop -> this.workers.stop(stop,
					() -> enqueue(() -> this.scheduler.stopAnswered(stop.task(), stop.run(), this.process.now())));
			case Effect.Renew renew -> this.workers.renew(renew,
					(sent, answer) -> enqueue(() -> answer
						.peek((listed) -> this.scheduler.renewalAnswered(sent, listed, this.process.now()))
						.peekLeft((absence) -> this.scheduler.renewalUnanswered(sent, absence, this.process.now()))));
			case Effect.Note note ->
				this.simulation.history().note(this.process.name + ": " + note.decision() + ", " + note.reason());
			case Effect.VmCrashed crashed ->
				this.simulation.history().note(this.process.name + ": VM crashed, " + crashed.reason());
			case Effect.GivenUp givenUp ->
				this.simulation.history().note(this.process.name + ": given up, " + givenUp.reason());
			case Effect.StartedAgain again -> this.simulation.history().note(this.process.name + ": " + again);
			case Effect.RunsOverlap overlap -> this.simulation.history().note(this.process.name + ": " + overlap);
			case Effect.SupersededRunDone done -> this.simulation.history().note(this.process.name + ": " + done);
		}
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
		Transaction transaction = progress.transaction();
		this.process.after(0, () -> this.process
			.<Long>callStore((store, answer) -> answer.accept(store.transact(transaction)), 0, (result) -> {
				boolean failed = result.isLeft() && !(result.getLeft() instanceof StoreFailure.Conflict);
				this.process.after(failed ? RETRY_MS : 0, () -> enqueue(() -> writeEnded(progress, result)));
			}));
	}

	private void writeEnded(ProgressTransaction progress, Either<StoreFailure, Long> result) {
		this.writeInProgress = false;
		if (!progress.apply(result, this.scheduler)) {
			this.term.end();
		}
	}

	private void workWritten(KvEntry entry) {
		if (entry.key().startsWith(StoreKeys.JOBS)) {
			String id = entry.key().substring(StoreKeys.JOBS.length());
			enqueue(() -> this.scheduler.jobAdded(JobCodec.decode(id, entry.value()), this.process.now()));
		}
		else {
			String id = entry.key().substring(StoreKeys.CANCELS.length());
			enqueue(() -> this.scheduler.cancelRequested(id, entry.revision(), this.process.now()));
		}
	}

	private void vmWritten(KvEntry entry) {
		enqueue(() -> this.scheduler.vmRegistered(this.simulation.store().registration(entry), this.process.now()));
	}

}
