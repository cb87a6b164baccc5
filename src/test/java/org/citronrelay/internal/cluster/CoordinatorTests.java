package org.citronrelay.internal.cluster;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.awaitility.Awaitility;
import org.citronrelay.Findings;
import org.citronrelay.internal.batch.JobCodec;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.VmRegistration;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.JobPhase;
import org.citronrelay.internal.schedule.Moment;
import org.citronrelay.internal.schedule.StartAnswer;
import org.citronrelay.internal.schedule.VmAbsence;
import org.citronrelay.internal.schedule.VmAnswer;
import org.citronrelay.internal.settings.LogSettings;
import org.citronrelay.internal.time.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Coordinator}.
 */
class CoordinatorTests {

	private static final Address UNUSED_ADDRESS = new Address("127.0.0.1", 1);

	private final InMemoryClusterStore store = new InMemoryClusterStore();

	private final AtomicReference<Coordinator> coordinator = new AtomicReference<>();

	private final WorkNotifier notifier = new WorkNotifier((to, call, timeoutMs) -> new Exchange.NotSent("no network"),
			Runnable::run, this.coordinator, Option::none);

	private final BatchJobService service = new BatchJobService(this.store, () -> 0, () -> StoreReachability.REACHABLE,
			this.notifier::notifyStored);

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private WorkerClient workerClient = new NoWorkers();

	private ExternalRecordReader recordReader = new EmptyRecordReader();

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
			this.service.submit(BatchJobServiceTests.job(id));
			this.service.cancel(id);
		}
		// when
		coordinate();
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> cancelled() == 40);
		assertThat(this.store.largestTransaction()).isLessThanOrEqualTo(ClusterStore.TRANSACTION_ENTRIES);
	}

	@Test
	void workIsAppliedWhileTheWatchReportsNoChanges() {
		// given
		coordinate();
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> this.store.listCalls(StoreKeys.WORK) > 0);
		this.store.hideChanges(true);
		// when
		this.service.submit(BatchJobServiceTests.job("a"));
		this.service.cancel("a");
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> cancelled() == 1);
	}

	@Test
	void aCoordinatorThatWasReplacedWritesNothingMore() {
		// given
		coordinate();
		// when
		long revision = this.store.list(StoreKeys.COORDINATOR).get().entries().getFirst().revision();
		this.store.transact(
				new Transaction(Map.of(StoreKeys.COORDINATOR, revision), List.of(), List.of(StoreKeys.COORDINATOR)));
		this.service.submit(BatchJobServiceTests.job("late"));
		this.service.cancel("late");
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(this.term::ended);
		assertThat(this.store.read(StoreKeys.PROGRESS + "late").get()).isEmpty();
	}

	@Test
	void recordsThatCannotBeReadDoNotStopTheCoordinator() {
		// given a job and the progress of another, both of a later format
		byte[] laterFormat = "{\"format\":99}".getBytes(StandardCharsets.UTF_8);
		this.service.submit(BatchJobServiceTests.job("unreadable-progress"));
		write(StoreKeys.JOBS + "unreadable", laterFormat);
		write(StoreKeys.PROGRESS + "unreadable-progress", laterFormat);
		// when
		coordinate();
		this.service.submit(BatchJobServiceTests.job("a"));
		this.service.cancel("a");
		// then the other jobs are handled, and the unreadable progress is left alone
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> phase("a") == JobPhase.CANCELLED);
		assertThat(this.store.read(StoreKeys.PROGRESS + "unreadable-progress").get().get().value())
			.isEqualTo(laterFormat);
	}

	@Test
	void aJobThatCannotBeScheduledDoesNotEndEachCoordinatorThatLoadsIt() {
		// given a job with a step that waits for one that does not exist
		String steps = "[{\"count\":1,\"after\":[7]}]";
		write(StoreKeys.JOBS + "broken",
				("{\"format\":1,\"queue\":\"q\",\"steps\":" + steps + "}").getBytes(StandardCharsets.UTF_8));
		// when
		coordinate();
		this.service.submit(BatchJobServiceTests.job("a"));
		this.service.cancel("a");
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> phase("a") == JobPhase.CANCELLED);
	}

	@Test
	void aRecordThatCannotBeReadDoesNotEndTheWatch() {
		// given
		coordinate();
		// when
		write(StoreKeys.JOBS + "unreadable", "{\"format\":99}".getBytes(StandardCharsets.UTF_8));
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> this.store.listCalls(StoreKeys.WORK) > 5);
		this.store
			.transact(Transaction.create(StoreKeys.JOBS + "a", JobCodec.encode(BatchJobServiceTests.job("a")), ""));
		this.store.transact(Transaction.create(StoreKeys.CANCELS + "a", new byte[] { '1' }, ""));
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> phase("a") == JobPhase.CANCELLED);
	}

	@Test
	void aRenewalWhoseAnswerCannotBeReadIsRepeated() {
		// given a VM, and a client that fails on every answer
		AtomicInteger renewals = new AtomicInteger();
		this.workerClient = new UnreadableAnswers(renewals);
		coordinate();
		// when
		this.coordinator.get()
			.enqueue(new CoordinatorEvent.VmRegistered(new VmRegistration("vm", "pool", UNUSED_ADDRESS, "a", 1, false,
					VmRegistration.UNKNOWN, Resources.NONE, "", Set.of())));
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> renewals.get() > 2);
	}

	/** Guards against one odd record that ends each coordinator, or its feed of VMs. */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void anOddRegistrationEndsNeitherTheCoordinatorNorItsFeedOfVms(boolean atItsStart) {
		// given
		Set<String> asked = ConcurrentHashMap.newKeySet();
		this.workerClient = new SilentWorkers(asked);
		this.recordReader = new OddRecordReader();
		if (!atItsStart) {
			coordinate();
		}
		// when
		write("vm/throws", new byte[0]);
		write("vm/extreme", new byte[0]);
		write("vm/null", new byte[0]);
		if (atItsStart) {
			coordinate();
		}
		this.store.failWatches(3);
		write("vm/sound", new byte[0]);
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> asked.contains("sound"));
		assertThat(this.term.ended()).isFalse();
	}

	private void write(String key, byte[] value) {
		this.store.transact(Transaction.create(key, value, ""));
	}

	private JobPhase phase(String job) {
		return this.service.phase(job).get().getOrElse(JobPhase.QUEUED);
	}

	private long cancelled() {
		return this.store.list(StoreKeys.PROGRESS)
			.get()
			.entries()
			.stream()
			.filter((entry) -> this.service.phase(entry.key().substring(StoreKeys.PROGRESS.length()))
				.get()
				.get() == JobPhase.CANCELLED)
			.count();
	}

	private void coordinate() {
		long token = this.store.transact(Transaction.create(StoreKeys.COORDINATOR, new byte[0], "")).get();
		this.term = new Term(token, "", new Moment(Long.MAX_VALUE, Long.MAX_VALUE), Long.MAX_VALUE);
		ClusterSettings settings = new ClusterSettings("test", "a",
				new ClusterSettings.Listen(UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS),
				UNUSED_ADDRESS, List.of(), 1, ClusterSettings.Coordination.DEFAULT, 1_000, 120_000,
				new LogSettings(LogSettings.Format.TEXT, LogSettings.Level.ERROR));
		CatalogueWatch catalogue = new CatalogueWatch(this.store, new EmptyRecordReader());
		Coordinator coordinator = new Coordinator(new Coordinator.Dependencies(settings, this.store, this.recordReader,
				this.workerClient, catalogue, this.executor, Ticker.system(), new ClusterMetrics()), this.term);
		this.executor.execute(coordinator::run);
		this.coordinator.set(coordinator);
	}

	/**
	 * A store into which no other system writes.
	 */
	private static class EmptyRecordReader implements ExternalRecordReader {

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
		public Either<Findings, VmRegistration> vm(String id, byte[] document) {
			return Either.left(Findings.of("", id, "nothing"));
		}

	}

	/**
	 * A reader that lets records through as no reader should.
	 */
	private static final class OddRecordReader extends EmptyRecordReader {

		@Override
		public Either<Findings, VmRegistration> vm(String id, byte[] document) {
			return switch (id) {
				case "throws" -> throw new IllegalStateException("planted");
				case "null" -> Either.right(null);
				case "extreme" -> Either.right(new VmRegistration(id, "", new Address("no.such.host.example", 1), "",
						Long.MAX_VALUE, true, Long.MAX_VALUE,
						new Resources(Long.MAX_VALUE, Long.MIN_VALUE, Long.MAX_VALUE), "", Set.of("")));
				default -> Either.right(new VmRegistration(id, "pool", UNUSED_ADDRESS, "a", 1, false,
						VmRegistration.UNKNOWN, Resources.NONE, "", Set.of()));
			};
		}

	}

	/**
	 * A cluster without VMs.
	 */
	private static class NoWorkers implements WorkerClient {

		@Override
		public StartAnswer start(Effect.Start command, long token) {
			return StartAnswer.UNKNOWN;
		}

		@Override
		public boolean stop(Effect.Stop command, long token) {
			return false;
		}

		@Override
		public Either<NoAnswer, VmAnswer> renew(Effect.Renew command, long token) {
			return Either.left(new NoAnswer("there is no VM", VmAbsence.UNKNOWN));
		}

	}

	/**
	 * A cluster of VMs that do not answer.
	 */
	private static final class SilentWorkers extends NoWorkers {

		private final Set<String> asked;

		SilentWorkers(Set<String> asked) {
			this.asked = asked;
		}

		@Override
		public Either<NoAnswer, VmAnswer> renew(Effect.Renew command, long token) {
			this.asked.add(command.vm().id());
			return super.renew(command, token);
		}

	}

	/**
	 * A client that fails on each answer to a renewal.
	 */
	private record UnreadableAnswers(AtomicInteger renewals) implements WorkerClient {

		@Override
		public StartAnswer start(Effect.Start command, long token) {
			return StartAnswer.UNKNOWN;
		}

		@Override
		public boolean stop(Effect.Stop command, long token) {
			return false;
		}

		@Override
		public Either<NoAnswer, VmAnswer> renew(Effect.Renew command, long token) {
			this.renewals.incrementAndGet();
			throw new IllegalArgumentException("planted");
		}

	}

}
