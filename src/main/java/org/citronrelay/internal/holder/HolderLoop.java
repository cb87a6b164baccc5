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
import org.citronrelay.internal.gang.DomainEffect;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.gang.DomainScheduler;
import org.citronrelay.internal.gang.DomainState;
import org.citronrelay.internal.gang.DomainTimings;
import org.citronrelay.internal.holder.HolderState.Holding;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * Tries to become the holder of the failure domain, and decides for its jobs while this
 * process is the holder.
 *
 * <p>
 * An unreachable key-value service does not end a holding, because no newer epoch can be
 * issued without the service. After the confirmed time has passed, the lease is checked
 * again before effects are executed. An expired lease, or a worker that has seen a newer
 * epoch, ends the holding at once.
 */
public final class HolderLoop implements AutoCloseable {

	private static final long TICK_MS = 500;

	private static final long LEASE_RENEW_INTERVAL_MS = DomainLease.TTL_MS / 3;

	private static final long RETRY_MS = 1_000;

	private static final long STANDBY_WATCH_MS = 10_000;

	private static final long JOBS_WATCH_MS = 10_000;

	/**
	 * A time before every other one, chosen so that differences do not overflow.
	 */
	private static final long DISTANT_PAST = Long.MIN_VALUE / 2;

	private final DomainLease lease;

	private final JobStore jobs;

	private final WorkerTasks workers;

	private final Sources sources;

	private final Ticker ticker;

	private final DomainTimings timings;

	private final String failureDomain;

	private final Consumer<DomainEffect.ReportProgress> progressListener;

	private final OrphanedGangRenewer orphanedGangRenewer;

	private final Fencing fencing;

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final BlockingQueue<DomainEvent> events = new LinkedBlockingQueue<>();

	private final AtomicReference<HolderState> holderState = new AtomicReference<>(new HolderState.Standby());

	private final AtomicReference<DomainState> domainState;

	private final AtomicLong newestEpoch = new AtomicLong();

	private final AtomicLong lastConfirmAttemptAt = new AtomicLong(DISTANT_PAST);

	private volatile boolean closing;

	private Thread thread;

	public HolderLoop(DomainLease lease, JobStore jobs, WorkerTasks workers, Sources sources, Ticker ticker,
			DomainTimings timings, String failureDomain, Consumer<DomainEffect.ReportProgress> progressListener) {
		this.lease = lease;
		this.jobs = jobs;
		this.workers = workers;
		this.sources = sources;
		this.ticker = ticker;
		this.timings = timings;
		this.failureDomain = failureDomain;
		this.progressListener = progressListener;
		this.orphanedGangRenewer = new OrphanedGangRenewer(workers, timings);
		this.fencing = new Fencing(lease, workers, this.executor, ticker);
		this.domainState = new AtomicReference<>(DomainState.empty(failureDomain, EffectRunner.NO_EPOCH, timings));
	}

	/**
	 * Starts the thread that acquires the domain when it is vacant.
	 */
	public void start() {
		this.thread = Thread.ofPlatform().name("holder").daemon().start(this::run);
	}

	/**
	 * Whether this process holds the domain.
	 */
	public boolean holds() {
		return this.holderState.get() instanceof Holding;
	}

	/**
	 * Returns the newest epoch that this process knows, 0 if it knows none.
	 */
	public long epoch() {
		return this.newestEpoch.get();
	}

	/**
	 * Records an epoch that a peer reported, if it is newer than the known one.
	 */
	public void observeEpoch(long epoch) {
		this.newestEpoch.accumulateAndGet(epoch, Math::max);
	}

	/**
	 * Returns the state after the last decision; an empty state while this process does
	 * not hold the domain.
	 */
	public DomainState domainState() {
		return this.domainState.get();
	}

	/**
	 * Queues an event for the scheduler. The event is dropped when this process does not
	 * hold the domain.
	 */
	public void submit(DomainEvent event) {
		if (holds()) {
			this.events.add(event);
		}
	}

	/**
	 * Stops the thread, waiting at most 5 s for it, and releases the domain if this
	 * process holds it.
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
		if (this.holderState.getAndSet(new HolderState.Standby()) instanceof Holding holding) {
			this.lease.release(holding);
		}
		this.executor.shutdownNow();
	}

	private void run() {
		while (!this.closing) {
			try {
				Either<KvFailure, Boolean> vacant = this.lease.awaitVacancy(STANDBY_WATCH_MS);
				if (vacant.isLeft()) {
					renewOrphanedGangs();
				}
				else if (vacant.get()) {
					tryToAcquire();
				}
			}
			catch (RuntimeException ex) {
				Part.HOLDER.logger().error("The holder loop failed; this process goes to standby and tries again.", ex);
				this.holderState.set(new HolderState.Standby());
				Pause.millis(RETRY_MS);
			}
		}
	}

	private void tryToAcquire() {
		Either<KvFailure, Option<Holding>> acquired = this.lease.acquire(this.newestEpoch.get());
		if (acquired.isLeft()) {
			Pause.millis(RETRY_MS);
			return;
		}
		acquired.get().forEach(this::holdUntilLost);
	}

	/**
	 * Renews the running gangs while neither a holder nor the key-value service can be
	 * reached. Only waits if a peer holds the domain or no epoch is known yet.
	 */
	private void renewOrphanedGangs() {
		if (this.newestEpoch.get() > 0 && !this.sources.holderAlive()) {
			int renewed = this.orphanedGangRenewer.renewCompleteGangs(this.sources.vms(), this.newestEpoch.get());
			Part.HOLDER.logger()
				.warn("Neither a holder nor the key-value service can be reached; renewed {} tasks of running gangs.",
						renewed);
		}
		Pause.millis(this.timings.renewEveryMs());
	}

	/**
	 * Fences former holders, reads the stored jobs, and decides until the holding ends.
	 */
	private void holdUntilLost(Holding acquired) {
		Option<Fencing.FenceResult> fenced = this.fencing.fence(acquired, this.sources.vms());
		if (fenced.isEmpty()) {
			this.lease.release(acquired);
			return;
		}
		Holding holding = fenced.get().holding();
		this.newestEpoch.accumulateAndGet(holding.epoch(), Math::max);
		Either<KvFailure, JobStore.Listing> listing = this.jobs.list(this.failureDomain);
		if (listing.isLeft()) {
			this.lease.release(holding);
			Pause.millis(RETRY_MS);
			return;
		}
		this.events.clear();
		this.holderState.set(holding);
		Part.HOLDER.logger()
			.info("Became the holder of failure domain {} with epoch {}.", this.failureDomain, holding.epoch());
		List<DomainEvent> initial = new ArrayList<>(Takeover.initialEvents(this.sources.catalogue(), this.sources.vms(),
				listing.get().records(), fenced.get().answers()));
		EffectRunner runner = new EffectRunner(this.workers, this.jobs, this.failureDomain, this.executor, this::submit,
				this::currentEpoch, this.progressListener, this::handleStaleEpoch);
		this.executor.execute(() -> renewLease(holding.lease()));
		this.executor.execute(() -> watchJobs(holding.lease(), listing.get().revision()));
		decideWhileHolding(runner, initial, holding.epoch());
		Part.HOLDER.logger()
			.info("No longer the holder of failure domain {}; another entry process can take over.",
					this.failureDomain);
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
			this.domainState.set(current);
			decision.effects().forEach(runner::run);
			batch = nextBatch(nextTick - now);
		}
		this.domainState.set(DomainState.empty(this.failureDomain, EffectRunner.NO_EPOCH, this.timings));
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
		while (!this.closing && this.holderState.get() instanceof Holding holding && holding.lease().equals(leaseId)) {
			confirmLease(holding);
			Pause.millis(LEASE_RENEW_INTERVAL_MS);
		}
	}

	/**
	 * Renews the lease and goes to standby if it has expired. Without an answer from the
	 * key-value service the state stays as it is.
	 */
	private void confirmLease(Holding holding) {
		this.lastConfirmAttemptAt.set(this.ticker.millis());
		Either<KvFailure, Option<Holding>> renewed = this.lease.renew(holding);
		if (renewed.isRight()) {
			this.holderState
				.updateAndGet((current) -> (current instanceof Holding held && held.lease().equals(holding.lease()))
						? renewed.get().map((next) -> (HolderState) next).getOrElse(new HolderState.Standby())
						: current);
		}
	}

	/**
	 * Returns the epoch to send with an effect, or {@link EffectRunner#NO_EPOCH} if this
	 * process does not hold the domain. After the confirmed time, for example when the
	 * process was paused, tries to confirm the lease first.
	 */
	private long currentEpoch() {
		if (this.holderState.get() instanceof Holding holding) {
			long now = this.ticker.millis();
			if (!holding.confirmedAt(now) && now - this.lastConfirmAttemptAt.get() > RETRY_MS) {
				confirmLease(holding);
			}
		}
		return (this.holderState.get() instanceof Holding holding) ? holding.epoch() : EffectRunner.NO_EPOCH;
	}

	private void handleStaleEpoch(long newest) {
		this.newestEpoch.accumulateAndGet(newest, Math::max);
		if (this.holderState.get() instanceof Holding holding && holding.epoch() < newest) {
			Part.HOLDER.logger()
				.warn("A worker has seen epoch {}, newer than epoch {} of this process; this process gives up the domain.",
						newest, holding.epoch());
			this.holderState.set(new HolderState.Standby());
		}
	}

	private void watchJobs(String leaseId, long listedRevision) {
		long revision = listedRevision;
		while (!this.closing && this.holderState.get() instanceof Holding holding && holding.lease().equals(leaseId)) {
			Either<KvFailure, JobStore.Listing> changes = this.jobs.watch(this.failureDomain, revision, JOBS_WATCH_MS);
			if (changes.isLeft()) {
				changes = this.jobs.list(this.failureDomain);
			}
			if (changes.isLeft()) {
				Pause.millis(RETRY_MS);
				continue;
			}
			changes.get().records().forEach(this::submit);
			revision = changes.get().revision();
		}
	}

	/**
	 * Information that the loop needs from the rest of the process.
	 */
	public interface Sources {

		/**
		 * Returns the VMs of the failure domain, as last read from the VM list.
		 */
		List<Vm> vms();

		/**
		 * Returns the catalogue in force.
		 */
		Catalogue catalogue();

		/**
		 * Whether a live peer reports that it holds the domain.
		 */
		boolean holderAlive();

	}

}
