package org.citronrelay.internal.cluster;

import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;

import org.citronrelay.internal.build.BuildInfo;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpEndpoint;
import org.citronrelay.internal.http.HttpHandler;
import org.citronrelay.internal.http.HttpLimits;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.http.TimeLimit;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.schedule.ClusterScheduler;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * One process of a cluster: its endpoints, its access to the store, and the coordinator
 * while it is elected.
 */
public final class ClusterProcess {

	/** The largest answer that is read, in bytes; the store sends pages of 1 MB. */
	private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

	/**
	 * How long the balancer takes to notice that a process is not ready, in milliseconds.
	 */
	private static final long BALANCER_NOTICE_MS = 2_200;

	/** The time limit of a store call on behalf of a peer that names none. */
	private static final TimeLimit RELAY_LIMIT = TimeLimit.ofSilence(700);

	/**
	 * The largest call of a peer, in bytes: a transaction with one value of the largest
	 * size, in Base64, and others.
	 */
	static final int MAX_PEER_CALL_BYTES = 4 * 1024 * 1024;

	private static final int OK = 200;

	private final ClusterSettings settings;

	private final Ticker ticker = Ticker.system();

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final HttpClient client = new HttpClient(MAX_ANSWER_BYTES);

	private final ClusterMetrics metrics = new ClusterMetrics();

	private final AtomicReference<Coordinator> coordinator = new AtomicReference<>();

	private final PeerRegistry peers;

	private final StoreRoute route;

	private final ClusterStore store;

	private final CatalogueWatch catalogue;

	private final Election election;

	private final WorkNotifier notifier;

	private final ClusterAdapter adapter;

	private HttpEndpoint callerEndpoint;

	private HttpEndpoint balancerEndpoint;

	private HttpEndpoint peerEndpoint;

	private HttpEndpoint metricsEndpoint;

	private volatile boolean draining;

	private volatile boolean closingConnections;

	public ClusterProcess(ClusterSettings settings, ClusterAdapter adapter) {
		this.settings = settings;
		this.adapter = adapter;
		this.peers = new PeerRegistry(settings);
		this.route = new StoreRoute(StoreRoute.Transport.of(this.client), settings.store(), this.peers::others,
				this.ticker, this.metrics);
		this.store = adapter.store(this.route);
		this.catalogue = new CatalogueWatch(this.store, adapter.recordReader());
		this.election = new Election(
				this.store, this.ticker, new Election.Candidate(settings.process() + "/" + UUID.randomUUID(),
						settings.listen().peers(), settings.cores()),
				settings.coordination().termMs(), this::coordinate);
		this.notifier = new WorkNotifier(StoreRoute.Transport.of(this.client), this.executor, this.coordinator,
				this.election::coordinatorAddress);
	}

	/**
	 * Opens the endpoints, starts the background threads, and joins the election.
	 */
	public void start() {
		this.balancerEndpoint = HttpEndpoint.start(this.settings.listen().balancer(), HttpLimits.DEFAULT,
				this.adapter.balancer(this::ready));
		BatchJobService service = new BatchJobService(this.store, this.ticker, this.route::reachability,
				this.notifier::notifyStored);
		HttpHandler handler = this.adapter.callers(service, this.catalogue::current);
		this.callerEndpoint = HttpEndpoint.start(this.settings.listen().callers(), HttpLimits.DEFAULT,
				(call) -> closeIfStopping(handleMeasured(handler, call)));
		this.metrics.registerGauges(this::statistics, () -> this.catalogue.current().version());
		this.metricsEndpoint = HttpEndpoint.start(this.settings.listen().metrics(), HttpLimits.DEFAULT,
				(call) -> HttpReply.text(OK, this.metrics.scrape()));
		this.peerEndpoint = HttpEndpoint.start(this.settings.listen().peers(),
				HttpLimits.DEFAULT.withBodyBytes(MAX_PEER_CALL_BYTES), this::handlePeerCall);
		this.catalogue.onChange((newCatalogue) -> {
			Coordinator current = this.coordinator.get();
			if (current != null) {
				current.enqueue(new CoordinatorEvent.CatalogueChanged(newCatalogue));
			}
		});
		this.catalogue.start();
		this.peers.start(this.store);
		new StoreProbe(this.route, this.adapter.storeRead(StoreKeys.COORDINATOR), this.executor).start();
		Thread.ofPlatform().name("coordinator").daemon().start(this.election);
		// Reading the program file takes some time, in which callers are served already.
		BuildInfo build = BuildInfo.ofThisProcess();
		this.metrics.registerBuild(build);
		Part.ENTRY.logger()
			.atInfo()
			.addKeyValue("process", this.settings.process())
			.addKeyValue("version", build.version())
			.addKeyValue("build", build.digest())
			.addKeyValue("callerAddress", this.settings.listen().callers())
			.log("The process has started and listens for callers.");
	}

	/**
	 * Stops gracefully: reports not ready, gives up coordination, and waits for calls in
	 * progress.
	 * @return how many calls were still in progress at the deadline
	 */
	public int stop() {
		long deadline = this.ticker.millis() + this.settings.stopWithinMs();
		this.draining = true;
		Part.ENTRY.logger()
			.atInfo()
			.addKeyValue("callsInProgress", this.callerEndpoint.inProgress())
			.log("The process is shutting down; finishes calls in progress.");
		this.election.withdraw();
		Pause.millis(Math.min(BALANCER_NOTICE_MS, this.settings.stopWithinMs() / 2));
		this.closingConnections = true;
		while (this.callerEndpoint.inProgress() > 0 && this.ticker.millis() < deadline) {
			Pause.millis(10);
		}
		int unfinished = this.callerEndpoint.inProgress();
		Part.ENTRY.logger().atInfo().addKeyValue("unfinishedCalls", unfinished).log("The process has stopped.");
		return unfinished;
	}

	/**
	 * Returns the number of callers' calls in progress.
	 */
	public int inProgress() {
		return this.callerEndpoint.inProgress();
	}

	private void coordinate(Term term) {
		Coordinator current = new Coordinator(new Coordinator.Dependencies(this.settings, this.store,
				this.adapter.recordReader(), this.adapter.workerClient(this.client), this.catalogue, this.executor,
				this.ticker, this.metrics), term);
		this.coordinator.set(current);
		try {
			current.run();
		}
		finally {
			this.coordinator.set(null);
		}
	}

	/**
	 * Whether callers are served here as well as elsewhere. While the store is away for
	 * everyone the process stays ready, so that callers are told when to come back.
	 */
	private boolean ready() {
		return !this.draining && this.catalogue.current().version() > 0 && !this.route.reachability().isolated();
	}

	private ClusterScheduler.Statistics statistics() {
		Coordinator current = this.coordinator.get();
		return (current != null) ? current.statistics() : ClusterScheduler.Statistics.NONE;
	}

	private HttpReply handleMeasured(HttpHandler handler, HttpCall call) {
		long began = this.ticker.millis();
		HttpReply reply = handler.handle(call);
		this.metrics.recordCall(call.method(), reply.status(), this.ticker.millis() - began);
		return reply;
	}

	private HttpReply closeIfStopping(HttpReply reply) {
		return this.closingConnections ? reply.header("Connection", "close") : reply;
	}

	/**
	 * Forwards a peer's call to the store, or handles its notice of stored work.
	 */
	private HttpReply handlePeerCall(HttpCall call) {
		if (call.path().startsWith(WorkNotifier.PATH)) {
			return this.notifier.receive(call);
		}
		if (!call.path().startsWith(StoreRoute.RELAY)) {
			return Problem.of(404, "no-such-path", "This endpoint has no such path.", "Check the path.").reply();
		}
		return this.route.relayForPeer(call, RELAY_LIMIT);
	}

}
