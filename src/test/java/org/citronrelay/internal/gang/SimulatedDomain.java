package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import io.vavr.control.Either;
import org.citronrelay.Catalogue;
import org.citronrelay.internal.holder.JobStore;
import org.citronrelay.internal.holder.Takeover;
import org.citronrelay.internal.placement.GuaranteeCheck;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks.EndMode;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;
import org.citronrelay.internal.standin.KvStore;
import org.citronrelay.internal.standin.RunLog;
import org.citronrelay.internal.standin.TaskTable;
import org.citronrelay.testing.FaultyKeyValueService;

/**
 * Runs the real scheduler with simulated workers in virtual time. Every delay and fault
 * is drawn from the seed, so a run can be repeated.
 */
final class SimulatedDomain {

	static final String DOMAIN = "east";

	private static final long TICK_MS = 500;

	private static final long CALL_TIMEOUT_MS = 1_500;

	private final SplittableRandom random;

	private final PriorityQueue<Timed> queue = new PriorityQueue<>(
			Comparator.comparingLong(Timed::at).thenComparingLong(Timed::number));

	private final Map<String, TaskTable> taskTables = new HashMap<>();

	private final List<RunLog> logs = new ArrayList<>();

	private final Set<String> partitioned = new HashSet<>();

	private final KvStore store = new KvStore();

	private final FaultyKeyValueService kv;

	private final JobStore jobs;

	private final List<Vm> vms;

	private final Catalogue catalogue;

	private final List<String> guaranteeViolations = new ArrayList<>();

	private final Map<String, Long> startedAt = new HashMap<>();

	private double replyLossRate;

	private boolean ignoringEpochs;

	private Holder holder;

	private long epoch;

	private long now = 1_000;

	private long nextNumber;

	SimulatedDomain(long seed, Catalogue catalogue, List<Vm> vms) {
		this.random = new SplittableRandom(seed);
		this.catalogue = catalogue;
		this.vms = vms;
		this.kv = new FaultyKeyValueService(this.store, () -> this.now, this.random);
		this.jobs = new JobStore(this.kv, () -> this.now);
		vms.forEach(this::startWorker);
		replaceHolder();
	}

	FaultyKeyValueService kv() {
		return this.kv;
	}

	JobStore jobs() {
		return this.jobs;
	}

	long now() {
		return this.now;
	}

	SplittableRandom random() {
		return this.random;
	}

	DomainState state() {
		return this.holder.state;
	}

	Map<String, Long> startedAt() {
		return this.startedAt;
	}

	List<String> guaranteeViolations() {
		return this.guaranteeViolations;
	}

	List<List<RunLog.Event>> logs() {
		return this.logs.stream().map(RunLog::events).toList();
	}

	/**
	 * Sets the fraction of calls to workers whose reply is lost after the call took
	 * effect.
	 * @param rate the fraction, from 0 to 1
	 */
	void loseReplies(double rate) {
		this.replyLossRate = rate;
	}

	/**
	 * Disables the comparison of epochs at the workers, so that a test can show that the
	 * history check detects the fault.
	 */
	void ignoreEpochs() {
		this.ignoringEpochs = true;
	}

	void submit(JobRecord record) {
		this.jobs.create(DOMAIN, record);
	}

	/**
	 * Disconnects a worker from all holders, or connects it again.
	 */
	void partition(String vm, boolean disconnected) {
		if (disconnected) {
			this.partitioned.add(vm);
		}
		else {
			this.partitioned.remove(vm);
		}
	}

	/**
	 * Kills a worker and starts it again without tasks and without an epoch.
	 */
	void restartWorker(Vm vm) {
		this.taskTables.get(vm.id()).stopAll(this.now);
		startWorker(vm);
	}

	/**
	 * Starts a new holder that takes over. The previous one continues with its own
	 * events, as a process does that was paused and has not noticed the takeover.
	 */
	void replaceHolder() {
		this.epoch++;
		Holder next = new Holder(this.epoch);
		List<DomainEvent.RenewalCompleted> fenced = new ArrayList<>();
		for (Vm vm : this.vms) {
			fenced.add(new DomainEvent.RenewalCompleted(vm.id(), this.now, this.partitioned.contains(vm.id())
					? unreachable() : this.taskTables.get(vm.id()).fence(next.epoch, this.now)));
		}
		this.kv.setUnavailable(false);
		List<DomainEvent.RecordSeen> records = this.jobs.list(DOMAIN).get().records();
		this.holder = next;
		next.decide(Takeover.initialEvents(this.catalogue, this.vms, records, fenced));
		schedule(TICK_MS, () -> next.tick());
	}

	/**
	 * Runs all scheduled actions up to a time.
	 * @param end the time in milliseconds of virtual time
	 */
	void runUntil(long end) {
		while (!this.queue.isEmpty() && this.queue.peek().at() <= end) {
			Timed next = this.queue.poll();
			this.now = Math.max(this.now, next.at());
			next.action().run();
		}
		this.now = end;
	}

	/**
	 * Makes the workers end the tasks whose leases have expired by now.
	 */
	void expireLeases() {
		this.taskTables.values().forEach((table) -> table.countRunning(this.now));
	}

	private void startWorker(Vm vm) {
		RunLog log = new RunLog();
		this.logs.add(log);
		this.taskTables.put(vm.id(), new TaskTable(vm.accelerators(), 1, log));
	}

	private void schedule(long delayMs, Runnable action) {
		this.queue.add(new Timed(this.now + delayMs, this.nextNumber++, action));
	}

	private static <T> Either<WorkerFailure, T> unreachable() {
		return Either.left(new WorkerFailure.Unreachable("the worker is disconnected", true));
	}

	private record Timed(long at, long number, Runnable action) {
	}

	/**
	 * One holder with its own state, which may have been superseded without noticing it.
	 */
	private final class Holder {

		private final long epoch;

		private DomainState state;

		private long seenRevision;

		private boolean superseded;

		Holder(long epoch) {
			this.epoch = epoch;
			this.state = DomainState.empty(DOMAIN, epoch, DomainTimings.DEFAULT);
		}

		void tick() {
			if (this.superseded) {
				return;
			}
			List<DomainEvent> events = new ArrayList<>();
			events.add(new DomainEvent.Tick());
			readRecords(events);
			decide(events);
			schedule(TICK_MS, this::tick);
		}

		/**
		 * Reads the changed records. Only the current holder does: a replaced one would
		 * notice at this point that its lease has expired.
		 */
		private void readRecords(List<DomainEvent> events) {
			if (SimulatedDomain.this.holder != this) {
				return;
			}
			SimulatedDomain.this.jobs.watch(DOMAIN, this.seenRevision, 0).peek((listing) -> {
				events.addAll(listing.records());
				this.seenRevision = listing.revision();
			});
		}

		void decide(List<DomainEvent> events) {
			if (this.superseded) {
				return;
			}
			Decision decision = DomainScheduler.decide(this.state, events, SimulatedDomain.this.now);
			this.state = decision.state();
			GuaranteeCheck.violations(this.state.fleet())
				.forEach((violation) -> SimulatedDomain.this.guaranteeViolations
					.add("at " + SimulatedDomain.this.now + " epoch " + this.epoch + ": " + violation));
			decision.effects().forEach(this::execute);
		}

		private void execute(DomainEffect effect) {
			long delay = 1 + SimulatedDomain.this.random.nextInt(30);
			switch (effect) {
				case DomainEffect.Command command -> schedule(delay, () -> command(command));
				case DomainEffect.Renew renew -> schedule(delay, () -> renew(renew));
				case DomainEffect.Store write ->
					schedule(delay, () -> decide(List.of(new DomainEvent.StoreCompleted(write.record(),
							SimulatedDomain.this.jobs.replace(DOMAIN, write.record(), write.revision())))));
				case DomainEffect.ReportProgress report ->
					SimulatedDomain.this.startedAt.putIfAbsent(report.record().id(), SimulatedDomain.this.now);
			}
		}

		/**
		 * Returns the epoch that is sent to workers.
		 */
		private long sentEpoch() {
			return SimulatedDomain.this.ignoringEpochs ? SimulatedDomain.this.epoch : this.epoch;
		}

		private void command(DomainEffect.Command command) {
			DomainEffect.MemberRef member = command.member();
			TaskTable table = SimulatedDomain.this.taskTables.get(member.vm());
			long at = SimulatedDomain.this.now;
			String task = member.task().toString();
			call(member.vm(), (result) -> decide(List.of(new DomainEvent.CommandCompleted(command, result))),
					() -> switch (command) {
						case DomainEffect.Reserve reserve ->
							table.reserve(sentEpoch(), reserve.reservation(), false, at);
						case DomainEffect.Start _ -> table.start(sentEpoch(), task, false, at);
						case DomainEffect.End end -> table.end(sentEpoch(), task, end.mode() == EndMode.CHECKPOINT, at);
					});
		}

		private void renew(DomainEffect.Renew renew) {
			call(renew.vm(),
					(result) -> decide(List.of(new DomainEvent.RenewalCompleted(renew.vm(), renew.sentAt(), result))),
					() -> SimulatedDomain.this.taskTables.get(renew.vm())
						.renew(sentEpoch(), renew.tasks(), renew.leaseMs(), SimulatedDomain.this.now));
		}

		/**
		 * Calls a worker and schedules the handling of its answer. The holder is
		 * superseded if the worker has seen a newer epoch.
		 */
		private <T> void call(String vm, java.util.function.Consumer<Either<WorkerFailure, T>> handler,
				java.util.function.Supplier<Either<WorkerFailure, T>> action) {
			if (SimulatedDomain.this.partitioned.contains(vm)) {
				schedule(CALL_TIMEOUT_MS, () -> handler.accept(unreachable()));
				return;
			}
			Either<WorkerFailure, T> result = action.get();
			if (result.isLeft() && result.getLeft() instanceof WorkerFailure.StaleEpoch) {
				this.superseded = true;
				return;
			}
			boolean lost = SimulatedDomain.this.random.nextDouble() < SimulatedDomain.this.replyLossRate;
			long delay = lost ? CALL_TIMEOUT_MS : 1 + SimulatedDomain.this.random.nextInt(30);
			schedule(delay, () -> handler.accept(lost ? unreachable() : result));
		}

	}

}
