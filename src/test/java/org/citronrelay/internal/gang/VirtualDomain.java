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
import org.citronrelay.testing.FaultyKv;

/**
 * The real scheduler over fake workers in virtual time. Every delay and fault comes from
 * the seed, so that a run can be repeated.
 */
final class VirtualDomain {

	static final String DOMAIN = "east";

	private static final long TICK_MS = 500;

	private static final long UNANSWERED_MS = 1_500;

	private final SplittableRandom random;

	private final PriorityQueue<Timed> queue = new PriorityQueue<>(
			Comparator.comparingLong(Timed::at).thenComparingLong(Timed::number));

	private final Map<String, TaskTable> tables = new HashMap<>();

	private final List<RunLog> logs = new ArrayList<>();

	private final Set<String> cutOff = new HashSet<>();

	private final KvStore store = new KvStore();

	private final FaultyKv kv;

	private final JobStore jobs;

	private final List<Vm> vms;

	private final Catalogue catalogue;

	private final List<String> broken = new ArrayList<>();

	private final Map<String, Long> startedAt = new HashMap<>();

	private double lossOfReplies;

	private boolean ignoringEpochs;

	private Holder holder;

	private long epoch;

	private long now = 1_000;

	private long numbers;

	VirtualDomain(long seed, Catalogue catalogue, List<Vm> vms) {
		this.random = new SplittableRandom(seed);
		this.catalogue = catalogue;
		this.vms = vms;
		this.kv = new FaultyKv(this.store, () -> this.now, this.random);
		this.jobs = new JobStore(this.kv, () -> this.now);
		vms.forEach(this::restart);
		newHolder();
	}

	FaultyKv kv() {
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

	List<String> broken() {
		return this.broken;
	}

	List<List<RunLog.Event>> logs() {
		return this.logs.stream().map(RunLog::events).toList();
	}

	/**
	 * Sets the share of commands to workers whose reply is lost after they took effect.
	 */
	void loseReplies(double share) {
		this.lossOfReplies = share;
	}

	/**
	 * Takes the comparison of epochs at the workers out, to see a check go red.
	 */
	void ignoreEpochs() {
		this.ignoringEpochs = true;
	}

	void submit(JobRecord record) {
		this.jobs.create(DOMAIN, record);
	}

	/**
	 * Cuts a worker off from all holders, or connects it again.
	 */
	void cut(String vm, boolean isCut) {
		if (isCut) {
			this.cutOff.add(vm);
		}
		else {
			this.cutOff.remove(vm);
		}
	}

	/**
	 * Kills a worker and starts it anew, empty and with no epoch.
	 */
	void kill(Vm vm) {
		this.tables.get(vm.id()).lose(this.now);
		restart(vm);
	}

	/**
	 * Lets a new holder take over. The old one goes on with its events, as one that was
	 * paused and does not know.
	 */
	void newHolder() {
		this.epoch++;
		Holder next = new Holder(this.epoch);
		List<DomainEvent.Renewed> fenced = new ArrayList<>();
		for (Vm vm : this.vms) {
			fenced.add(new DomainEvent.Renewed(vm.id(), this.now, this.cutOff.contains(vm.id()) ? unreachable()
					: this.tables.get(vm.id()).fence(next.epoch, this.now)));
		}
		this.kv.down(false);
		List<DomainEvent.RecordSeen> records = this.jobs.list(DOMAIN).get().records();
		this.holder = next;
		next.decide(Takeover.events(this.catalogue, this.vms, records, fenced));
		schedule(TICK_MS, () -> next.tick());
	}

	/**
	 * Runs until a time.
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
	 * Lets the workers notice everything that has lapsed by now.
	 */
	void settleWorkers() {
		this.tables.values().forEach((table) -> table.running(this.now));
	}

	private void restart(Vm vm) {
		RunLog log = new RunLog();
		this.logs.add(log);
		this.tables.put(vm.id(), new TaskTable(vm.accelerators(), 1, log));
	}

	private void schedule(long delayMs, Runnable action) {
		this.queue.add(new Timed(this.now + delayMs, this.numbers++, action));
	}

	private static <T> Either<WorkerFailure, T> unreachable() {
		return Either.left(new WorkerFailure.Unreachable("cut off", true));
	}

	private record Timed(long at, long number, Runnable action) {
	}

	/**
	 * One holder with its own view.
	 */
	private final class Holder {

		private final long epoch;

		private DomainState state;

		private long seenRevision;

		private boolean stepsDown;

		Holder(long epoch) {
			this.epoch = epoch;
			this.state = DomainState.empty(DOMAIN, epoch, DomainTimings.DEFAULT);
		}

		void tick() {
			if (this.stepsDown) {
				return;
			}
			List<DomainEvent> events = new ArrayList<>();
			events.add(new DomainEvent.Tick());
			readRecords(events);
			decide(events);
			schedule(TICK_MS, this::tick);
		}

		/**
		 * Only the present holder reads records: one that was replaced would see there
		 * that its lease is gone.
		 */
		private void readRecords(List<DomainEvent> events) {
			if (VirtualDomain.this.holder != this) {
				return;
			}
			VirtualDomain.this.jobs.watch(DOMAIN, this.seenRevision, 0).peek((listing) -> {
				events.addAll(listing.records());
				this.seenRevision = listing.revision();
			});
		}

		void decide(List<DomainEvent> events) {
			if (this.stepsDown) {
				return;
			}
			Decision decision = DomainScheduler.decide(this.state, events, VirtualDomain.this.now);
			this.state = decision.state();
			GuaranteeCheck.violations(this.state.fleet())
				.forEach((violation) -> VirtualDomain.this.broken
					.add("at " + VirtualDomain.this.now + " epoch " + this.epoch + ": " + violation));
			decision.effects().forEach(this::carryOut);
		}

		private void carryOut(Effect effect) {
			long delay = 1 + VirtualDomain.this.random.nextInt(30);
			switch (effect) {
				case Effect.Command command -> schedule(delay, () -> command(command));
				case Effect.Renew renew -> schedule(delay, () -> renew(renew));
				case Effect.Store stored -> schedule(delay, () -> decide(List.of(new DomainEvent.Stored(stored.record(),
						VirtualDomain.this.jobs.replace(DOMAIN, stored.record(), stored.revision())))));
				case Effect.Note note ->
					VirtualDomain.this.startedAt.putIfAbsent(note.record().id(), VirtualDomain.this.now);
			}
		}

		/**
		 * The epoch that workers are shown.
		 */
		private long shownEpoch() {
			return VirtualDomain.this.ignoringEpochs ? VirtualDomain.this.epoch : this.epoch;
		}

		private void command(Effect.Command command) {
			Effect.MemberRef member = command.member();
			TaskTable table = VirtualDomain.this.tables.get(member.vm());
			long at = VirtualDomain.this.now;
			String task = member.task().toString();
			deliver(member.vm(), (result) -> decide(List.of(new DomainEvent.Replied(command, result))),
					() -> switch (command) {
						case Effect.Reserve reserve -> table.reserve(shownEpoch(), reserve.reservation(), false, at);
						case Effect.Start _ -> table.start(shownEpoch(), task, false, at);
						case Effect.End end -> table.end(shownEpoch(), task, end.mode() == EndMode.CHECKPOINT, at);
					});
		}

		private void renew(Effect.Renew renew) {
			deliver(renew.vm(),
					(result) -> decide(List.of(new DomainEvent.Renewed(renew.vm(), renew.sentAt(), result))),
					() -> VirtualDomain.this.tables.get(renew.vm())
						.renew(shownEpoch(), renew.tasks(), renew.leaseMs(), VirtualDomain.this.now));
		}

		private <T> void deliver(String vm, java.util.function.Consumer<Either<WorkerFailure, T>> answer,
				java.util.function.Supplier<Either<WorkerFailure, T>> call) {
			if (VirtualDomain.this.cutOff.contains(vm)) {
				schedule(UNANSWERED_MS, () -> answer.accept(unreachable()));
				return;
			}
			Either<WorkerFailure, T> result = call.get();
			if (result.isLeft() && result.getLeft() instanceof WorkerFailure.StaleEpoch) {
				this.stepsDown = true;
				return;
			}
			boolean lost = VirtualDomain.this.random.nextDouble() < VirtualDomain.this.lossOfReplies;
			long delay = lost ? UNANSWERED_MS : 1 + VirtualDomain.this.random.nextInt(30);
			schedule(delay, () -> answer.accept(lost ? unreachable() : result));
		}

	}

}
