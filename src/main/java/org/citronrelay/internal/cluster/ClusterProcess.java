package org.citronrelay.internal.cluster;

import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;

import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpEndpoint;
import org.citronrelay.internal.http.HttpHandler;
import org.citronrelay.internal.http.HttpLimits;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.schedule.JobBook;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * One process of a cluster with all its parts.
 */
public final class ClusterProcess {

	/** The largest answer that is read, in bytes; the store sends pages of a megabyte. */
	private static final int LARGEST_ANSWER_BYTES = 8 * 1024 * 1024;

	/** How old the last answer of the store may be for a process that is ready, in ms. */
	private static final long STORE_HEARD_MS = 4_000;

	/**
	 * How long the balancer takes to notice that a process is leaving, in milliseconds.
	 */
	private static final long BALANCER_MS = 2_200;

	/** How long a store call on behalf of a peer may take, in milliseconds. */
	private static final long RELAY_MS = 700;

	private static final int OK = 200;

	private final ClusterSettings settings;

	private final Ticker ticker = Ticker.system();

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final HttpClient client = new HttpClient(LARGEST_ANSWER_BYTES);

	private final ClusterMetrics metrics = new ClusterMetrics();

	private final AtomicReference<Coordinator> coordinator = new AtomicReference<>();

	private final Members members;

	private final StoreRoute route;

	private final ClusterStore store;

	private final CatalogueWatch catalogue;

	private final Election election;

	private final WorkNotices notices;

	private final ClusterAdapter adapter;

	private HttpEndpoint callers;

	private HttpEndpoint balancer;

	private HttpEndpoint peers;

	private HttpEndpoint scraped;

	private volatile boolean leaving;

	private volatile boolean closing;

	public ClusterProcess(ClusterSettings settings, ClusterAdapter adapter) {
		this.settings = settings;
		this.adapter = adapter;
		this.members = new Members(settings);
		this.route = new StoreRoute((to, call, timeoutMs) -> this.client.exchange(to, call, timeoutMs, false),
				settings.store(), this.members::others, this.ticker, this.metrics);
		this.store = adapter.store(this.route);
		this.catalogue = new CatalogueWatch(this.store, adapter.sources());
		this.election = new Election(
				this.store, this.ticker, new Election.Candidate(settings.process() + "/" + UUID.randomUUID(),
						settings.listen().peers(), settings.cores()),
				settings.coordination().termMs(), this::coordinate);
		this.notices = new WorkNotices((to, call, timeoutMs) -> this.client.exchange(to, call, timeoutMs, false),
				this.executor, this.coordinator, this.election::coordinator);
	}

	/**
	 * Starts to listen and to work.
	 */
	public void start() {
		this.balancer = HttpEndpoint.start(this.settings.listen().balancer(), HttpLimits.DEFAULT,
				this.adapter.balancer(this::ready));
		BatchDesk desk = new BatchDesk(this.store, this.ticker, this.route::reachedAt, this.notices::stored);
		HttpHandler handler = this.adapter.callers(desk, this.catalogue::current);
		this.callers = HttpEndpoint.start(this.settings.listen().callers(), HttpLimits.DEFAULT,
				(call) -> closeWhileLeaving(measured(handler, call)));
		this.metrics.watch(this::figures, () -> this.catalogue.current().version());
		this.scraped = HttpEndpoint.start(this.settings.listen().metrics(), HttpLimits.DEFAULT,
				(call) -> HttpReply.text(OK, this.metrics.text()));
		this.peers = HttpEndpoint.start(this.settings.listen().peers(), HttpLimits.DEFAULT, this::peer);
		this.catalogue.onChange((version) -> {
			Coordinator current = this.coordinator.get();
			if (current != null) {
				current.tell(new CoordinatorEvent.CatalogueSeen(version));
			}
		});
		this.catalogue.start();
		this.members.start(this.store);
		Thread.ofPlatform().name("coordinator").daemon().start(this.election);
		Part.ENTRY.logger()
			.atInfo()
			.addKeyValue("process", this.settings.process())
			.addKeyValue("callers", this.settings.listen().callers())
			.log("Started.");
	}

	/**
	 * Stops as planned: hands over, finishes what is in progress.
	 * @return how many calls were cut because the bound passed
	 */
	public int stop() {
		long deadline = this.ticker.millis() + this.settings.stopWithinMs();
		this.leaving = true;
		Part.ENTRY.logger().atInfo().addKeyValue("inProgress", this.callers.inProgress()).log("Is leaving.");
		this.election.withdraw();
		Pause.millis(Math.min(BALANCER_MS, this.settings.stopWithinMs() / 2));
		this.closing = true;
		while (this.callers.inProgress() > 0 && this.ticker.millis() < deadline) {
			Pause.millis(10);
		}
		int cut = this.callers.inProgress();
		Part.ENTRY.logger().atInfo().addKeyValue("cut", cut).log("Stopped.");
		return cut;
	}

	/**
	 * The number of callers' calls that are in progress.
	 */
	public int inProgress() {
		return this.callers.inProgress();
	}

	private void coordinate(Term term) {
		Coordinator current = new Coordinator(
				new Coordinator.Parts(this.settings, this.store, this.adapter.sources(),
						this.adapter.orders(this.client), this.catalogue, this.executor, this.ticker, this.metrics),
				term);
		this.coordinator.set(current);
		try {
			current.run();
		}
		finally {
			this.coordinator.set(null);
		}
	}

	private boolean ready() {
		return !this.leaving && this.catalogue.current().version() > 0
				&& this.ticker.millis() - this.route.reachedAt() < STORE_HEARD_MS;
	}

	private JobBook.Figures figures() {
		Coordinator current = this.coordinator.get();
		return (current != null) ? current.figures() : JobBook.Figures.NONE;
	}

	private HttpReply measured(HttpHandler handler, HttpCall call) {
		long began = this.ticker.millis();
		HttpReply reply = handler.handle(call);
		this.metrics.answered(call.method(), reply.status(), this.ticker.millis() - began);
		return reply;
	}

	private HttpReply closeWhileLeaving(HttpReply reply) {
		return this.closing ? reply.header("Connection", "close") : reply;
	}

	/**
	 * Passes a peer's call on to the store, or takes its notice in.
	 */
	private HttpReply peer(HttpCall call) {
		if (call.path().startsWith(WorkNotices.PATH)) {
			return this.notices.take(call);
		}
		if (!call.path().startsWith(StoreRoute.RELAY)) {
			return Problem.of(404, "no-such-path", "There is nothing here.", "Check the path.").reply();
		}
		return this.route.passOn(call, RELAY_MS);
	}

}
