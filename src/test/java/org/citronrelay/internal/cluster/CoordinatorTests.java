package org.citronrelay.internal.cluster;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.awaitility.Awaitility;
import org.citronrelay.Findings;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.VmReport;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.JobPhase;
import org.citronrelay.internal.schedule.StartAnswer;
import org.citronrelay.internal.schedule.VmAnswer;
import org.citronrelay.internal.settings.LogSettings;
import org.citronrelay.internal.time.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of one term of a coordinator.
 */
class CoordinatorTests {

	private static final Address NOWHERE = new Address("127.0.0.1", 1);

	private final MemoryStore store = new MemoryStore();

	private final AtomicReference<Coordinator> office = new AtomicReference<>();

	private final WorkNotices notices = new WorkNotices((to, call, timeoutMs) -> new Exchange.NotSent("no network"),
			Runnable::run, this.office, Option::none);

	private final BatchDesk desk = new BatchDesk(this.store, () -> 0, () -> 0, this.notices::stored);

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private Term term;

	@AfterEach
	void endTerm() {
		this.term.end();
		this.executor.shutdownNow();
	}

	@Test
	void progressOfManyJobsIsWrittenWithinTheStoresLimitOfOneTransaction() {
		// given
		for (int number = 0; number < 40; number++) {
			String id = "job" + number;
			this.desk.submit(BatchDeskTests.job(id));
			this.desk.cancel(id);
		}
		// when
		coordinate();
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> cancelled() == 40);
		assertThat(this.store.largestTransaction()).isLessThanOrEqualTo(ClusterStore.TRANSACTION_ENTRIES);
	}

	@Test
	void workIsTakenInWhileTheWatchIsDeaf() {
		// given
		coordinate();
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> this.store.lists(Keys.WORK) > 0);
		this.store.deaf(true);
		// when
		this.desk.submit(BatchDeskTests.job("a"));
		this.desk.cancel("a");
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> cancelled() == 1);
	}

	@Test
	void aCoordinatorThatWasReplacedWritesNothingMore() {
		// given
		coordinate();
		// when
		long revision = this.store.list(Keys.COORDINATOR).get().entries().getFirst().revision();
		this.store.transact(new Transaction(Map.of(Keys.COORDINATOR, revision), List.of(), List.of(Keys.COORDINATOR)));
		this.desk.submit(BatchDeskTests.job("late"));
		this.desk.cancel("late");
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(this.term::over);
		assertThat(this.store.read(Keys.PROGRESS + "late").get()).isEmpty();
	}

	private long cancelled() {
		return this.store.list(Keys.PROGRESS)
			.get()
			.entries()
			.stream()
			.filter((entry) -> this.desk.phase(entry.key().substring(Keys.PROGRESS.length()))
				.get()
				.get() == JobPhase.CANCELLED)
			.count();
	}

	private void coordinate() {
		long token = this.store.transact(Transaction.create(Keys.COORDINATOR, new byte[0], "")).get();
		this.term = new Term(token, "", Long.MAX_VALUE);
		ClusterSettings settings = new ClusterSettings("test", "a",
				new ClusterSettings.Listen(NOWHERE, NOWHERE, NOWHERE, NOWHERE), NOWHERE, List.of(), 1,
				ClusterSettings.Coordination.DEFAULT, 1_000, 120_000,
				new LogSettings(LogSettings.Format.TEXT, LogSettings.Level.ERROR));
		CatalogueWatch catalogue = new CatalogueWatch(this.store, new NoSources());
		Coordinator coordinator = new Coordinator(new Coordinator.Parts(settings, this.store, new NoSources(),
				new NoOrders(), catalogue, this.executor, Ticker.system(), new ClusterMetrics()), this.term);
		this.executor.execute(coordinator::run);
		this.office.set(coordinator);
	}

	/**
	 * Nobody but the cluster writes into the store.
	 */
	private static final class NoSources implements ClusterSources {

		@Override
		public String catalogueKey() {
			return "catalogue";
		}

		@Override
		public Either<Findings, QueueCatalogue> catalogue(byte[] document) {
			return Either.right(QueueCatalogue.NONE);
		}

		@Override
		public String vmPrefix() {
			return "vm/";
		}

		@Override
		public Either<Findings, VmReport> vm(String id, byte[] document) {
			return Either.left(Findings.of("", id, "nothing"));
		}

	}

	/**
	 * There is no VM.
	 */
	private static final class NoOrders implements WorkerOrders {

		@Override
		public StartAnswer start(Effect.Start order, long token) {
			return StartAnswer.UNKNOWN;
		}

		@Override
		public boolean stop(Effect.Stop order, long token) {
			return false;
		}

		@Override
		public Either<Silence, VmAnswer> renew(Effect.Renew order, long token) {
			return Either.left(new Silence("there is no VM", false));
		}

	}

}
