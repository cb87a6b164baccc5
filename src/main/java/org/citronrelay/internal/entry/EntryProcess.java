package org.citronrelay.internal.entry;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.Outcome;
import org.citronrelay.internal.admission.SlotLimiter;
import org.citronrelay.internal.admission.TeamLimiter;
import org.citronrelay.internal.api.JobApi.HolderLink;
import org.citronrelay.internal.api.JobService;
import org.citronrelay.internal.api.Router;
import org.citronrelay.internal.build.BuildInfo;
import org.citronrelay.internal.catalogue.AppliedCatalogue;
import org.citronrelay.internal.catalogue.CatalogueStore;
import org.citronrelay.internal.claim.AtMostOnceExecutor;
import org.citronrelay.internal.claim.OutcomeLedger;
import org.citronrelay.internal.dispatch.Dispatcher;
import org.citronrelay.internal.dispatch.HttpRequestService;
import org.citronrelay.internal.gang.DomainEffect;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.gang.DomainEvent.RecordSeen;
import org.citronrelay.internal.gang.DomainState;
import org.citronrelay.internal.gang.JobRecord;
import org.citronrelay.internal.gang.JobRecord.StoredState;
import org.citronrelay.internal.holder.DomainLease;
import org.citronrelay.internal.holder.HolderLoop;
import org.citronrelay.internal.holder.JobStore;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpEndpoint;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.peer.PeerMessage;
import org.citronrelay.internal.peer.PeerNode;
import org.citronrelay.internal.peer.PeerStatus;
import org.citronrelay.internal.peer.PeerTable;
import org.citronrelay.internal.pipeline.ClaimFilter;
import org.citronrelay.internal.pipeline.DispatchStage;
import org.citronrelay.internal.pipeline.KnownKeyFilter;
import org.citronrelay.internal.pipeline.MetricsFilter;
import org.citronrelay.internal.pipeline.RequestContext;
import org.citronrelay.internal.pipeline.RequestFilter;
import org.citronrelay.internal.pipeline.SlotFilter;
import org.citronrelay.internal.pipeline.StoppingFilter;
import org.citronrelay.internal.pipeline.TeamLimitFilter;
import org.citronrelay.internal.platform.HttpKeyValueService;
import org.citronrelay.internal.platform.HttpVmList;
import org.citronrelay.internal.platform.HttpWorkerTasks;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.VmList;
import org.citronrelay.internal.report.ServiceLevelCounters;
import org.citronrelay.internal.settings.EntrySettings;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * An entry process: creates its components, runs their threads and shuts them down.
 */
public final class EntryProcess {

	private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

	private static final long VM_LIST_REFRESH_MS = 2_000;

	private static final long CATALOGUE_WATCH_RETRY_MS = 1_000;

	/** Gives load balancers time to see that this process is no longer ready. */
	private static final long BALANCER_NOTICE_MS = 1_000;

	private static final int MIN_SLOTS = 8;

	/** Factor by which this process may exceed its equal share of the workers' slots. */
	private static final double SLOT_OVERSUBSCRIPTION = 1.25;

	private static final int MAX_WAITING_REQUESTS = 1_000;

	private final String processId = UUID.randomUUID().toString();

	private final EntrySettings settings;

	private final Ticker ticker = Ticker.system();

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final HttpClient client = new HttpClient(MAX_RESPONSE_BYTES);

	private final AtomicReference<List<Vm>> vms = new AtomicReference<>(List.of());

	private final AppliedCatalogue appliedCatalogue = new AppliedCatalogue();

	private final ServiceLevelCounters serviceLevels = new ServiceLevelCounters();

	private final PeerTable peerTable = new PeerTable();

	private final TeamLimiter teamLimiter = new TeamLimiter();

	private final SlotLimiter slotLimiter = new SlotLimiter(MIN_SLOTS, MAX_WAITING_REQUESTS);

	private final KeyValueService kv;

	private final VmList vmList;

	private final CatalogueStore catalogueStore;

	private final CatalogueUpdater catalogueUpdater;

	private final Dispatcher dispatcher;

	private final AtMostOnceExecutor atMostOnceExecutor;

	private final OutcomeLedger ledger;

	private final HolderLoop holder;

	private final JobService jobs;

	private final Membership membership;

	private final PeerNode peerNode;

	private final PeerClient peerClient;

	private final Reports reports;

	private final PeerRequestHandler peerRequestHandler;

	private final HttpEndpoint http;

	private volatile boolean stopping;

	private volatile boolean refusingRequests;

	private volatile boolean started;

	public EntryProcess(EntrySettings settings) {
		this.settings = settings;
		this.kv = new HttpKeyValueService(this.client, settings.keyValue(), settings.platformTimeoutMs(),
				this.registry);
		this.vmList = new HttpVmList(this.client, settings.vmList(), settings.platformTimeoutMs());
		CatalogueFleetCheck fleetCheck = new CatalogueFleetCheck(this.vms::get);
		this.catalogueStore = new CatalogueStore(this.kv, this.appliedCatalogue, fleetCheck);
		this.catalogueUpdater = new CatalogueUpdater(this.kv, this.catalogueStore, this.appliedCatalogue);
		this.dispatcher = new Dispatcher(new HttpRequestService(this.client), this.ticker, settings.failureDomain());
		this.ledger = new OutcomeLedger(settings.answerMemoryBytes());
		this.peerNode = new PeerNode(settings.peers(), this::answerPeer);
		this.peerClient = new PeerClient(this.peerNode, this.peerTable, this.executor, this.ticker,
				settings.failureDomain());
		this.atMostOnceExecutor = new AtMostOnceExecutor(this.kv, this.ledger, this.peerClient, this.ticker,
				this.processId);
		JobStore jobStore = new JobStore(this.kv, this.ticker);
		this.holder = new HolderLoop(new DomainLease(this.kv, this.ticker, settings.failureDomain(), this.processId),
				jobStore, new HttpWorkerTasks(this.client, settings.workerTimeoutMs()), new DomainSources(),
				this.ticker, settings.timings(), settings.failureDomain(), this::recordProgress);
		this.jobs = new JobService(jobStore, this::loadOf, settings.failureDomain());
		this.reports = new Reports(this.processId, settings.failureDomain(), this.ticker, this.appliedCatalogue,
				this.serviceLevels, this.dispatcher, this.holder, this.peerClient);
		this.peerRequestHandler = new PeerRequestHandler(this.processId, this.ticker, this.appliedCatalogue,
				this.atMostOnceExecutor, this.ledger, this.holder, this.reports, this::status, this::handlePeerStatus);
		this.membership = new Membership(this.kv, this.peerTable, this::status, this::handlePeerStatus, this.ticker);
		Router router = new Router(new Router.Dependencies(pipeline(), this.atMostOnceExecutor, this.jobs,
				this.vms::get, new LocalOrPeerHolder(), this.catalogueStore, this.appliedCatalogue, fleetCheck,
				this.reports::catalogueInForce, this.reports::allLevels, this::ready, this.registry,
				settings.operatorTokenDigests(), this.ticker, System::currentTimeMillis));
		this.http = HttpEndpoint.start(settings.http(), settings.limits(), (call) -> handle(router, call));
		registerGauges();
	}

	/**
	 * Starts the threads of the process. Before that, reads the VM list, the registered
	 * peers and the catalogue once.
	 */
	public void start() {
		this.appliedCatalogue
			.onChange((version) -> this.holder.submit(new DomainEvent.CatalogueApplied(version.catalogue())));
		refreshVms();
		this.membership.refresh();
		this.membership.heartbeat(this.peerNode, this.executor, 0);
		this.catalogueUpdater.poll();
		startPeriodic("vm-list", VM_LIST_REFRESH_MS, this::refreshVms);
		startPeriodic("membership", Membership.REFRESH_MS, this.membership::refresh);
		startPeriodic("catalogue-poll", CatalogueUpdater.POLL_MS, this.catalogueUpdater::poll);
		Thread.ofVirtual().name("heartbeat").start(this::sendHeartbeats);
		Thread.ofVirtual().name("catalogue-watch").start(this::watchCatalogue);
		this.holder.start();
		this.started = true;
		BuildInfo build = BuildInfo.ofThisProcess();
		build.register(this.registry);
		Part.ENTRY.logger()
			.info("Entry process started: version {}, failure domain {}, callers at {}, peers at {}, process id {}.",
					build, this.settings.failureDomain(), this.settings.http(), this.settings.peers(), this.processId);
	}

	/**
	 * Shuts down gracefully: reports to peers that this process is stopping, releases the
	 * failure domain, refuses new requests, and waits for calls in progress until the
	 * shutdown time of the settings has passed.
	 * @return the number of calls that were still in progress and were aborted
	 */
	public int stop() {
		long deadline = this.ticker.millis() + this.settings.stopWithinMs();
		this.stopping = true;
		Part.ENTRY.logger().info("Stopping; {} calls in progress.", this.http.inProgress());
		this.membership.heartbeat(this.peerNode, this.executor, 0);
		this.holder.close();
		Pause.millis(Math.min(BALANCER_NOTICE_MS, this.settings.stopWithinMs() / 2));
		this.refusingRequests = true;
		while (this.http.inProgress() > 0 && this.ticker.millis() < deadline) {
			Pause.millis(10);
		}
		int aborted = this.http.inProgress();
		this.membership.deregister();
		this.http.close();
		this.peerNode.close();
		this.client.close();
		this.executor.shutdownNow();
		Part.ENTRY.logger().info("Stopped; {} calls were still in progress and were aborted.", aborted);
		return aborted;
	}

	/**
	 * Returns the number of callers' calls that are in progress.
	 */
	public int inProgress() {
		return this.http.inProgress();
	}

	private Function<RequestContext, Outcome> pipeline() {
		return RequestFilter.chain(List.of(new StoppingFilter(() -> this.refusingRequests),
				new MetricsFilter(this.registry, this.serviceLevels, this.ticker),
				new KnownKeyFilter(this.atMostOnceExecutor), new TeamLimitFilter(this.teamLimiter, this::liveEntries),
				new SlotFilter(this.slotLimiter, this.ticker), new ClaimFilter(this.atMostOnceExecutor)),
				new DispatchStage(this.dispatcher));
	}

	private HttpReply handle(Router router, HttpCall call) {
		HttpReply reply = router.handle(call);
		return this.refusingRequests ? reply.header("Connection", "close") : reply;
	}

	private boolean ready() {
		return this.started && !this.stopping && this.appliedCatalogue.current().number() > 0
				&& !this.vms.get().isEmpty();
	}

	/**
	 * Returns the number of entry processes that are alive and not stopping, this one
	 * included.
	 */
	private int liveEntries() {
		return 1 + (int) this.peerTable.alive(this.ticker.millis())
			.stream()
			.filter((peer) -> !peer.status().stopping())
			.count();
	}

	private void refreshVms() {
		this.vmList.vms().peek((list) -> {
			this.vms.set(list);
			this.dispatcher.updateVms(list);
			this.holder.submit(new DomainEvent.VmListRead(ownVms()));
		})
			.peekLeft((reason) -> Part.PLATFORM.logger()
				.warn("Could not read the VM list: {}; the previous list stays in use.", reason));
	}

	private List<Vm> ownVms() {
		return this.vms.get()
			.stream()
			.filter((vm) -> vm.failureDomain().equals(this.settings.failureDomain()))
			.toList();
	}

	private void sendHeartbeats() {
		for (long round = 1; Pause.millis(Membership.LOCAL_HEARTBEAT_MS) && !this.refusingRequests; round++) {
			this.membership.heartbeat(this.peerNode, this.executor, round);
			int liveEntries = liveEntries();
			this.dispatcher.updatePeers(liveEntries, this.peerTable.drainingVms(this.ticker.millis()));
			this.slotLimiter.resize(
					Math.max(MIN_SLOTS, (int) (this.dispatcher.totalSlots() * SLOT_OVERSUBSCRIPTION / liveEntries)));
		}
	}

	private void watchCatalogue() {
		while (!this.refusingRequests) {
			if (!this.catalogueUpdater.watchOnce()) {
				Pause.millis(CATALOGUE_WATCH_RETRY_MS);
			}
		}
	}

	private void startPeriodic(String name, long periodMs, Runnable task) {
		Thread.ofVirtual().name(name).start(() -> {
			while (Pause.millis(periodMs) && !this.refusingRequests) {
				try {
					task.run();
				}
				catch (RuntimeException ex) {
					Part.ENTRY.logger()
						.error("The periodic task {} failed; it runs again at its next interval.", name, ex);
				}
			}
		});
	}

	private PeerStatus status() {
		return new PeerStatus(this.processId, this.settings.failureDomain(), this.settings.peers(),
				this.appliedCatalogue.current().number(), this.stopping, this.holder.epoch(), this.holder.holds(),
				queuedAccelerators(this.holder.domainState()), this.dispatcher.drainingVms());
	}

	/**
	 * Answers a call of a peer. Peers can call while the constructor still runs; these
	 * calls get an empty reply.
	 */
	private PeerMessage answerPeer(PeerMessage message) {
		return (this.peerRequestHandler != null) ? this.peerRequestHandler.apply(message) : new PeerMessage.NoContent();
	}

	private void handlePeerStatus(PeerStatus status) {
		this.peerTable.recordStatus(status, this.ticker.millis());
		if (status.failureDomain().equals(this.settings.failureDomain())) {
			this.holder.observeEpoch(status.epoch());
		}
		if (status.catalogueNumber() > this.appliedCatalogue.current().number()) {
			this.executor.execute(
					() -> this.catalogueUpdater.fetchFrom(this.peerNode, status.address(), status.catalogueNumber()));
		}
	}

	private int loadOf(String domain) {
		if (domain.equals(this.settings.failureDomain()) && this.holder.holds()) {
			return queuedAccelerators(this.holder.domainState());
		}
		return this.peerClient.holder(domain).map((peer) -> peer.status().queuedAccelerators()).getOrElse(0);
	}

	private static int queuedAccelerators(DomainState state) {
		return state.queuedAccelerators();
	}

	private void recordProgress(DomainEffect.ReportProgress progress) {
		JobRecord record = progress.record();
		if (progress.tookMs() < 0) {
			Part.JOB.logger()
				.info("Job {} of team {} started after waiting {} ms.", record.id(), record.owner().team(),
						progress.waitedMs());
			return;
		}
		Part.JOB.logger()
			.info("Job {} of team {} ended {} ms after its acceptance.", record.id(), record.owner().team(),
					progress.tookMs());
		this.serviceLevels.record(record.owner().team(), record.owner().serviceClass(), ServiceLevelCounters.Kind.JOB,
				record.state() == StoredState.DONE, progress.tookMs(), this.ticker.millis());
	}

	private void registerGauges() {
		this.registry.gauge("citronrelay.slots.used", this.slotLimiter, SlotLimiter::used);
		this.registry.gauge("citronrelay.slots.waiting", this.slotLimiter, SlotLimiter::waiting);
		this.registry.gauge("citronrelay.catalogue.version", this.appliedCatalogue,
				(catalogue) -> catalogue.current().number());
		this.registry.gauge("citronrelay.peers.alive", this, (entry) -> entry.liveEntries() - 1);
		this.registry.gauge("citronrelay.peers.bytes", this.peerNode, PeerNode::transferredBytes);
		this.registry.gauge("citronrelay.holder", this.holder, (loop) -> loop.holds() ? 1 : 0);
		this.registry.gauge("citronrelay.jobs.queued", this.holder, (loop) -> loop.domainState().queuedJobs());
	}

	private final class DomainSources implements HolderLoop.Sources {

		@Override
		public List<Vm> vms() {
			return ownVms();
		}

		@Override
		public Catalogue catalogue() {
			return EntryProcess.this.appliedCatalogue.current().catalogue();
		}

		@Override
		public boolean holderAlive() {
			return EntryProcess.this.peerClient.holder(EntryProcess.this.settings.failureDomain()).isDefined();
		}

	}

	private final class LocalOrPeerHolder implements HolderLink {

		@Override
		public Option<ObjectNode> job(String jobId) {
			String domain = JobService.domainOf(jobId);
			boolean heldHere = domain.equals(EntryProcess.this.settings.failureDomain())
					&& EntryProcess.this.holder.holds();
			return heldHere ? EntryProcess.this.reports.liveJob(jobId)
					: EntryProcess.this.peerClient.job(domain, jobId);
		}

		@Override
		public void recordChanged(RecordSeen changed) {
			String domain = JobService.domainOf(changed.record().id());
			if (domain.equals(EntryProcess.this.settings.failureDomain()) && EntryProcess.this.holder.holds()) {
				EntryProcess.this.holder.submit(changed);
				return;
			}
			ObjectNode body = Json.object().put("revision", changed.revision());
			body.set("record", changed.record().toJson());
			EntryProcess.this.peerClient.recordChanged(domain, body);
		}

	}

}
