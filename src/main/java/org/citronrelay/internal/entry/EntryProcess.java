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
import org.citronrelay.internal.admission.SlotGate;
import org.citronrelay.internal.admission.TeamGate;
import org.citronrelay.internal.api.JobApi.HolderLink;
import org.citronrelay.internal.api.JobDesk;
import org.citronrelay.internal.api.Router;
import org.citronrelay.internal.catalogue.AppliedCatalogue;
import org.citronrelay.internal.catalogue.CatalogueStore;
import org.citronrelay.internal.claim.ClaimDesk;
import org.citronrelay.internal.claim.OutcomeLedger;
import org.citronrelay.internal.dispatch.Dispatcher;
import org.citronrelay.internal.dispatch.HttpRequestService;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.gang.DomainEvent.RecordSeen;
import org.citronrelay.internal.gang.DomainState;
import org.citronrelay.internal.gang.Effect;
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
import org.citronrelay.internal.pipeline.MeasureFilter;
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
import org.citronrelay.internal.report.ServiceLevels;
import org.citronrelay.internal.settings.EntrySettings;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * One entry process with all its parts.
 */
public final class EntryProcess {

	private static final int LARGEST_ANSWER_BYTES = 16 * 1024 * 1024;

	private static final long VM_LIST_MS = 2_000;

	private static final long RETRY_MS = 1_000;

	private static final long BALANCER_MS = 1_000;

	private static final int LEAST_SLOTS = 8;

	private static final double SLOT_SHARE = 1.25;

	private static final int MOST_WAITING = 1_000;

	private final String process = UUID.randomUUID().toString();

	private final EntrySettings settings;

	private final Ticker ticker = Ticker.system();

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final HttpClient client = new HttpClient(LARGEST_ANSWER_BYTES);

	private final AtomicReference<List<Vm>> vms = new AtomicReference<>(List.of());

	private final AppliedCatalogue applied = new AppliedCatalogue();

	private final ServiceLevels levels = new ServiceLevels();

	private final PeerTable table = new PeerTable();

	private final TeamGate teamGate = new TeamGate();

	private final SlotGate slotGate = new SlotGate(LEAST_SLOTS, MOST_WAITING);

	private final KeyValueService kv;

	private final VmList vmList;

	private final CatalogueStore store;

	private final CatalogueFeed feed;

	private final Dispatcher dispatcher;

	private final ClaimDesk claims;

	private final OutcomeLedger ledger;

	private final HolderLoop holder;

	private final JobDesk jobs;

	private final Membership membership;

	private final PeerNode peers;

	private final PeerDesk peerDesk;

	private final Reports reports;

	private final PeerAnswers answers;

	private final HttpEndpoint http;

	private volatile boolean leaving;

	private volatile boolean refusing;

	private volatile boolean warm;

	public EntryProcess(EntrySettings settings) {
		this.settings = settings;
		this.kv = new HttpKeyValueService(this.client, settings.keyValue(), settings.platformTimeoutMs(),
				this.registry);
		this.vmList = new HttpVmList(this.client, settings.vmList(), settings.platformTimeoutMs());
		GuaranteeFit check = new GuaranteeFit(this.vms::get);
		this.store = new CatalogueStore(this.kv, this.applied, check);
		this.feed = new CatalogueFeed(this.kv, this.store, this.applied);
		this.dispatcher = new Dispatcher(new HttpRequestService(this.client), this.ticker, settings.failureDomain());
		this.ledger = new OutcomeLedger(settings.answerMemoryBytes());
		this.peers = new PeerNode(settings.peers(), this::answerPeer);
		this.peerDesk = new PeerDesk(this.peers, this.table, this.executor, this.ticker, settings.failureDomain());
		this.claims = new ClaimDesk(this.kv, this.ledger, this.peerDesk, this.ticker, this.process);
		JobStore jobStore = new JobStore(this.kv, this.ticker);
		this.holder = new HolderLoop(new DomainLease(this.kv, this.ticker, settings.failureDomain(), this.process),
				jobStore, new HttpWorkerTasks(this.client, settings.workerTimeoutMs()), new DomainSources(),
				this.ticker, settings.timings(), settings.failureDomain(), this::note);
		this.jobs = new JobDesk(jobStore, this::loadOf, settings.failureDomain());
		this.reports = new Reports(this.process, settings.failureDomain(), this.ticker, this.applied, this.levels,
				this.dispatcher, this.holder, this.peerDesk);
		this.answers = new PeerAnswers(this.process, this.ticker, this.applied, this.claims, this.ledger, this.holder,
				this.reports, this::status, this::heard);
		this.membership = new Membership(this.kv, this.table, this::status, this::heard, this.ticker);
		Router router = new Router(new Router.Parts(pipeline(), this.claims, this.jobs, this.vms::get,
				new HolderCalls(), this.store, this.applied, check, this.reports::inForce, this.reports::all,
				this::ready, this.registry, settings.operatorTokenDigests(), this.ticker, System::currentTimeMillis));
		this.http = HttpEndpoint.start(settings.http(), settings.limits(), (call) -> handle(router, call));
		registerGauges();
	}

	/**
	 * Starts the threads of the process.
	 */
	public void start() {
		this.applied.onChange((version) -> this.holder.tell(new DomainEvent.CatalogueSeen(version.catalogue())));
		refreshVms();
		this.membership.refresh();
		this.membership.heartbeat(this.peers, this.executor, 0);
		this.feed.poll();
		every("vm-list", VM_LIST_MS, this::refreshVms);
		every("membership", Membership.REFRESH_MS, this.membership::refresh);
		every("catalogue-poll", CatalogueFeed.POLL_MS, this.feed::poll);
		Thread.ofVirtual().name("heartbeat").start(this::heartbeats);
		Thread.ofVirtual().name("catalogue-watch").start(this::watchCatalogue);
		this.holder.start();
		this.warm = true;
		Part.ENTRY.logger()
			.info("Serves {} at {}, peers at {}, as process {}.", this.settings.failureDomain(), this.settings.http(),
					this.settings.peers(), this.process);
	}

	/**
	 * Stops as planned: says so, finishes what is in progress, gives back what it holds.
	 * @return how many requests were cut because the bound passed
	 */
	public int stop() {
		long deadline = this.ticker.millis() + this.settings.stopWithinMs();
		this.leaving = true;
		Part.ENTRY.logger().info("Is leaving, {} calls in progress.", this.http.inProgress());
		this.membership.heartbeat(this.peers, this.executor, 0);
		this.holder.close();
		Pause.millis(Math.min(BALANCER_MS, this.settings.stopWithinMs() / 2));
		this.refusing = true;
		while (this.http.inProgress() > 0 && this.ticker.millis() < deadline) {
			Pause.millis(10);
		}
		int cut = this.http.inProgress();
		this.membership.leave();
		this.http.close();
		this.peers.close();
		this.client.close();
		this.executor.shutdownNow();
		Part.ENTRY.logger().info("Has left, {} calls were cut.", cut);
		return cut;
	}

	/**
	 * The number of calls that are in progress.
	 */
	public int inProgress() {
		return this.http.inProgress();
	}

	private Function<RequestContext, Outcome> pipeline() {
		return RequestFilter.chain(List.of(new StoppingFilter(() -> this.refusing),
				new MeasureFilter(this.registry, this.levels, this.ticker), new KnownKeyFilter(this.claims),
				new TeamLimitFilter(this.teamGate, this::entries), new SlotFilter(this.slotGate, this.ticker),
				new ClaimFilter(this.claims)), new DispatchStage(this.dispatcher));
	}

	private HttpReply handle(Router router, HttpCall call) {
		HttpReply reply = router.handle(call);
		return this.refusing ? reply.header("Connection", "close") : reply;
	}

	private boolean ready() {
		return this.warm && !this.leaving && this.applied.current().number() > 0 && !this.vms.get().isEmpty();
	}

	private int entries() {
		return 1 + (int) this.table.alive(this.ticker.millis())
			.stream()
			.filter((peer) -> !peer.status().leaving())
			.count();
	}

	private void refreshVms() {
		this.vmList.vms().peek((list) -> {
			this.vms.set(list);
			this.dispatcher.vms(list);
			this.holder.tell(new DomainEvent.FleetSeen(ownVms()));
		}).peekLeft((reason) -> Part.PLATFORM.logger().warn("The VM list did not answer: {}.", reason));
	}

	private List<Vm> ownVms() {
		return this.vms.get()
			.stream()
			.filter((vm) -> vm.failureDomain().equals(this.settings.failureDomain()))
			.toList();
	}

	private void heartbeats() {
		for (long round = 1; Pause.millis(Membership.NEAR_HEARTBEAT_MS) && !this.refusing; round++) {
			this.membership.heartbeat(this.peers, this.executor, round);
			int entries = entries();
			this.dispatcher.peers(entries, this.table.avoided(this.ticker.millis()));
			this.slotGate.resize(Math.max(LEAST_SLOTS, (int) (this.dispatcher.slots() * SLOT_SHARE / entries)));
		}
	}

	private void watchCatalogue() {
		while (!this.refusing) {
			if (!this.feed.watchOnce()) {
				Pause.millis(RETRY_MS);
			}
		}
	}

	private void every(String name, long periodMs, Runnable task) {
		Thread.ofVirtual().name(name).start(() -> {
			while (Pause.millis(periodMs) && !this.refusing) {
				try {
					task.run();
				}
				catch (RuntimeException ex) {
					Part.ENTRY.logger().error("The periodic task {} failed inside.", name, ex);
				}
			}
		});
	}

	private PeerStatus status() {
		return new PeerStatus(this.process, this.settings.failureDomain(), this.settings.peers(),
				this.applied.current().number(), this.leaving, this.holder.epoch(), this.holder.holds(),
				waiting(this.holder.state()), this.dispatcher.leaving());
	}

	/**
	 * Answers a peer; one that calls while this process is being built learns nothing
	 * yet.
	 */
	private PeerMessage answerPeer(PeerMessage message) {
		return (this.answers != null) ? this.answers.apply(message) : new PeerMessage.Nothing();
	}

	private void heard(PeerStatus status) {
		this.table.heard(status, this.ticker.millis());
		if (status.failureDomain().equals(this.settings.failureDomain())) {
			this.holder.heardEpoch(status.epoch());
		}
		if (status.catalogueNumber() > this.applied.current().number()) {
			this.executor.execute(() -> this.feed.heard(this.peers, status.address(), status.catalogueNumber()));
		}
	}

	private int loadOf(String domain) {
		if (domain.equals(this.settings.failureDomain()) && this.holder.holds()) {
			return waiting(this.holder.state());
		}
		return this.peerDesk.holder(domain).map((peer) -> peer.status().load()).getOrElse(0);
	}

	private static int waiting(DomainState state) {
		return state.queuedAccelerators();
	}

	private void note(Effect.Note note) {
		JobRecord record = note.record();
		if (note.tookMs() < 0) {
			Part.JOB.logger()
				.info("Job {} of {} runs after {} ms.", record.id(), record.owner().team(), note.waitedMs());
			return;
		}
		Part.JOB.logger().info("Job {} of {} is done after {} ms.", record.id(), record.owner().team(), note.tookMs());
		this.levels.count(record.owner().team(), record.owner().serviceClass(), ServiceLevels.Kind.JOB,
				record.state() == StoredState.DONE, note.tookMs(), this.ticker.millis());
	}

	private void registerGauges() {
		this.registry.gauge("citronrelay.slots.used", this.slotGate, SlotGate::used);
		this.registry.gauge("citronrelay.slots.waiting", this.slotGate, SlotGate::waiting);
		this.registry.gauge("citronrelay.catalogue.version", this.applied, (catalogue) -> catalogue.current().number());
		this.registry.gauge("citronrelay.peers.alive", this, (entry) -> entry.entries() - 1);
		this.registry.gauge("citronrelay.peers.bytes", this.peers, PeerNode::bytes);
		this.registry.gauge("citronrelay.holder", this.holder, (loop) -> loop.holds() ? 1 : 0);
		this.registry.gauge("citronrelay.jobs.queued", this.holder, (loop) -> loop.state().queued());
	}

	private final class DomainSources implements HolderLoop.Sources {

		@Override
		public List<Vm> vms() {
			return ownVms();
		}

		@Override
		public Catalogue catalogue() {
			return EntryProcess.this.applied.current().catalogue();
		}

		@Override
		public boolean holderAlive() {
			return EntryProcess.this.peerDesk.holder(EntryProcess.this.settings.failureDomain()).isDefined();
		}

	}

	private final class HolderCalls implements HolderLink {

		@Override
		public Option<ObjectNode> job(String jobId) {
			String domain = JobDesk.domainOf(jobId);
			boolean here = domain.equals(EntryProcess.this.settings.failureDomain())
					&& EntryProcess.this.holder.holds();
			return here ? EntryProcess.this.reports.liveJob(jobId) : EntryProcess.this.peerDesk.job(domain, jobId);
		}

		@Override
		public void recordChanged(RecordSeen seen) {
			String domain = JobDesk.domainOf(seen.record().id());
			if (domain.equals(EntryProcess.this.settings.failureDomain()) && EntryProcess.this.holder.holds()) {
				EntryProcess.this.holder.tell(seen);
				return;
			}
			ObjectNode body = Json.object().put("revision", seen.revision());
			body.set("record", seen.record().toJson());
			EntryProcess.this.peerDesk.recordChanged(domain, body);
		}

	}

}
