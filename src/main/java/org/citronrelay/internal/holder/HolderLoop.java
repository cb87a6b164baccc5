package org.citronrelay.internal.holder;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.internal.gang.Decision;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.gang.DomainScheduler;
import org.citronrelay.internal.gang.DomainState;
import org.citronrelay.internal.gang.DomainTimings;
import org.citronrelay.internal.gang.Effect;
import org.citronrelay.internal.holder.Tenancy.Holding;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * Holds the failure domain while it can, and decides for its jobs while it holds it.
 *
 * <p>
 * Losing the key-value service does not end a tenancy: without the service there can be
 * no newer epoch. Past the confirmed time the lease is asked for before each effect; a
 * lease that is gone, or a worker that has seen a newer epoch, ends the tenancy at once.
 */
public final class HolderLoop implements AutoCloseable {

	private static final long TICK_MS = 500;

	private static final long RENEW_EVERY_MS = DomainLease.TTL_MS / 3;

	private static final long RETRY_MS = 1_000;

	private static final long STANDBY_WATCH_MS = 10_000;

	private static final long JOBS_WATCH_MS = 10_000;

	/**
	 * Long ago, and far enough from the least number that differences do not overflow.
	 */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final DomainLease lease;

	private final JobStore jobs;

	private final WorkerTasks workers;

	private final Sources sources;

	private final Ticker ticker;

	private final DomainTimings timings;

	private final String failureDomain;

	private final Consumer<Effect.Note> notes;

	private final Caretaker caretaker;

	private final Fencing fencing;

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final BlockingQueue<DomainEvent> events = new LinkedBlockingQueue<>();

	private final AtomicReference<Tenancy> tenancy = new AtomicReference<>(new Tenancy.Standby());

	private final AtomicReference<DomainState> state;

	private final AtomicLong newestEpoch = new AtomicLong();

	private final AtomicLong confirmTriedAt = new AtomicLong(NEVER);

	private volatile boolean closing;

	private Thread thread;

	public HolderLoop(DomainLease lease, JobStore jobs, WorkerTasks workers, Sources sources, Ticker ticker,
			DomainTimings timings, String failureDomain, Consumer<Effect.Note> notes) {
		this.lease = lease;
		this.jobs = jobs;
		this.workers = workers;
		this.sources = sources;
		this.ticker = ticker;
		this.timings = timings;
		this.failureDomain = failureDomain;
		this.notes = notes;
		this.caretaker = new Caretaker(workers, timings);
		this.fencing = new Fencing(lease, workers, this.executor, ticker);
		this.state = new AtomicReference<>(DomainState.empty(failureDomain, EffectRunner.NO_EPOCH, timings));
	}

	/**
	 * Starts to try.
	 */
	public void start() {
		this.thread = Thread.ofPlatform().name("holder").daemon().start(this::run);
	}

	/**
	 * Whether this process holds the domain.
	 */
	public boolean holds() {
		return this.tenancy.get() instanceof Holding;
	}

	/**
	 * The newest epoch that this process knows.
	 */
	public long epoch() {
		return this.newestEpoch.get();
	}

	/**
	 * Takes the word of a peer on the newest epoch.
	 */
	public void heardEpoch(long epoch) {
		this.newestEpoch.accumulateAndGet(epoch, Math::max);
	}

	/**
	 * The state as this process last knew it; that of a domain without jobs on standby.
	 */
	public DomainState state() {
		return this.state.get();
	}

	/**
	 * Tells the scheduler something.
	 */
	public void tell(DomainEvent event) {
		if (holds()) {
			this.events.add(event);
		}
	}

	/**
	 * Gives the domain back and ends.
	 */
	@Override
	public void close() {
		this.closing = true;
		this.thread.interrupt();
		try {
			this.thread.join(TimeUnit.SECONDS.toMillis(5));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		if (this.tenancy.getAndSet(new Tenancy.Standby()) instanceof Holding holding) {
			this.lease.release(holding);
		}
		this.executor.shutdownNow();
	}

	private void run() {
		while (!this.closing) {
			try {
				Either<KvFailure, Boolean> vacant = this.lease.awaitVacancy(STANDBY_WATCH_MS);
				if (vacant.isLeft()) {
					careForGangs();
				}
				else if (vacant.get()) {
					tryToHold();
				}
			}
			catch (RuntimeException ex) {
				Part.HOLDER.logger().error("The holder failed inside, standing by.", ex);
				this.tenancy.set(new Tenancy.Standby());
				Pause.millis(RETRY_MS);
			}
		}
	}

	private void tryToHold() {
		Either<KvFailure, Option<Holding>> acquired = this.lease.acquire(this.newestEpoch.get());
		if (acquired.isLeft()) {
			Pause.millis(RETRY_MS);
			return;
		}
		acquired.get().forEach(this::hold);
	}

	/**
	 * Keeps the running gangs alive while holder and platform are gone together.
	 */
	private void careForGangs() {
		if (this.newestEpoch.get() > 0 && !this.sources.holderAlive()) {
			int renewed = this.caretaker.round(this.sources.vms(), this.newestEpoch.get());
			Part.HOLDER.logger().warn("Holder and platform are gone, renewed {} tasks.", renewed);
		}
		Pause.millis(this.timings.renewEveryMs());
	}

	private void hold(Holding first) {
		Option<Fencing.Fenced> fence = this.fencing.fence(first, this.sources.vms());
		if (fence.isEmpty()) {
			this.lease.release(first);
			return;
		}
		Holding holding = fence.get().holding();
		this.newestEpoch.accumulateAndGet(holding.epoch(), Math::max);
		Either<KvFailure, JobStore.Listing> listing = this.jobs.list(this.failureDomain);
		if (listing.isLeft()) {
			this.lease.release(holding);
			Pause.millis(RETRY_MS);
			return;
		}
		this.events.clear();
		this.tenancy.set(holding);
		Part.HOLDER.logger().info("Holds {} with epoch {}.", this.failureDomain, holding.epoch());
		List<DomainEvent> initial = new ArrayList<>(Takeover.events(this.sources.catalogue(), this.sources.vms(),
				listing.get().records(), fence.get().answers()));
		EffectRunner runner = new EffectRunner(this.workers, this.jobs, this.failureDomain, this.executor, this::tell,
				this::actingEpoch, this.notes, this::staleEpoch);
		this.executor.execute(() -> renewLease(holding.lease()));
		this.executor.execute(() -> watchJobs(holding.lease(), listing.get().revision()));
		decideWhileHolding(runner, initial, holding.epoch());
		Part.HOLDER.logger().info("Does not hold {} any more.", this.failureDomain);
	}

	private void decideWhileHolding(EffectRunner runner, List<DomainEvent> initial, long epoch) {
		DomainState current = DomainState.empty(this.failureDomain, epoch, this.timings);
		List<DomainEvent> batch = initial;
		long nextTick = this.ticker.millis();
		while (!this.closing && holds()) {
			long now = this.ticker.millis();
			if (now >= nextTick) {
				batch.add(new DomainEvent.Tick());
				nextTick = now + TICK_MS;
			}
			Decision decision = DomainScheduler.decide(current, batch, now);
			current = decision.state();
			this.state.set(current);
			decision.effects().forEach(runner::run);
			batch = nextBatch(nextTick - now);
		}
		this.state.set(DomainState.empty(this.failureDomain, EffectRunner.NO_EPOCH, this.timings));
	}

	private List<DomainEvent> nextBatch(long waitMs) {
		List<DomainEvent> batch = new ArrayList<>();
		try {
			DomainEvent first = this.events.poll(Math.max(1, waitMs), TimeUnit.MILLISECONDS);
			if (first != null) {
				batch.add(first);
				this.events.drainTo(batch);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return batch;
	}

	private void renewLease(String leaseId) {
		while (!this.closing && this.tenancy.get() instanceof Holding holding && holding.lease().equals(leaseId)) {
			confirm(holding);
			Pause.millis(RENEW_EVERY_MS);
		}
	}

	/**
	 * Asks the service whether the lease is alive. No answer leaves everything as it is.
	 */
	private void confirm(Holding holding) {
		this.confirmTriedAt.set(this.ticker.millis());
		Either<KvFailure, Option<Holding>> renewed = this.lease.renew(holding);
		if (renewed.isRight()) {
			this.tenancy
				.updateAndGet((current) -> (current instanceof Holding same && same.lease().equals(holding.lease()))
						? renewed.get().map((next) -> (Tenancy) next).getOrElse(new Tenancy.Standby()) : current);
		}
	}

	/**
	 * The epoch with which an effect may go out. Past the confirmed time, as after a
	 * pause of the process, the lease is asked for first.
	 */
	private long actingEpoch() {
		if (this.tenancy.get() instanceof Holding holding) {
			long now = this.ticker.millis();
			if (!holding.confirmedAt(now) && now - this.confirmTriedAt.get() > RETRY_MS) {
				confirm(holding);
			}
		}
		return (this.tenancy.get() instanceof Holding holding) ? holding.epoch() : EffectRunner.NO_EPOCH;
	}

	private void staleEpoch(long newest) {
		this.newestEpoch.accumulateAndGet(newest, Math::max);
		if (this.tenancy.get() instanceof Holding holding && holding.epoch() < newest) {
			Part.HOLDER.logger().warn("A worker has seen epoch {}, newer than {}.", newest, holding.epoch());
			this.tenancy.set(new Tenancy.Standby());
		}
	}

	private void watchJobs(String leaseId, long from) {
		long revision = from;
		while (!this.closing && this.tenancy.get() instanceof Holding holding && holding.lease().equals(leaseId)) {
			Either<KvFailure, JobStore.Listing> changes = this.jobs.watch(this.failureDomain, revision, JOBS_WATCH_MS);
			if (changes.isLeft()) {
				changes = this.jobs.list(this.failureDomain);
			}
			if (changes.isLeft()) {
				Pause.millis(RETRY_MS);
				continue;
			}
			changes.get().records().forEach(this::tell);
			revision = changes.get().revision();
		}
	}

	/**
	 * What the loop needs of the rest of the process.
	 */
	public interface Sources {

		/**
		 * The VMs of the failure domain.
		 */
		List<Vm> vms();

		/**
		 * The catalogue in force.
		 */
		Catalogue catalogue();

		/**
		 * Whether a peer that holds the domain was heard a moment ago.
		 */
		boolean holderAlive();

	}

}
