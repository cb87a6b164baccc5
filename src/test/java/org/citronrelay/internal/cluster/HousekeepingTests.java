package org.citronrelay.internal.cluster;

import io.vavr.control.Option;
import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.schedule.ClusterScheduler;
import org.citronrelay.internal.schedule.Moment;
import org.citronrelay.internal.schedule.ScheduleTimings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Housekeeping} on a store that carries out writes late.
 */
class HousekeepingTests {

	private static final long KEEP_ENDED_MS = 120_000;

	private final InMemoryClusterStore memory = new InMemoryClusterStore();

	private final LateWriteStore store = new LateWriteStore(this.memory);

	private final BatchJobService service = new BatchJobService(this.store, () -> 0, () -> StoreReachability.REACHABLE,
			(key, value) -> {
			});

	private ClusterScheduler scheduler;

	private Housekeeping housekeeping;

	private long now = 1_000_000;

	private long token;

	@BeforeEach
	void startTerm() {
		startCoordinator(this.store.transact(Transaction.create(StoreKeys.COORDINATOR, new byte[0], "")).get());
	}

	/**
	 * Guards against a number of queued jobs that stays wrong, as an earlier publication
	 * without an answer took effect after a newer one.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 5 })
	void publicationsThatTakeEffectLateDoNotReplaceANewerOne(int late) {
		// given
		this.store.holdBack(late, HousekeepingTests::publishesCounts);
		for (int number = 0; number < late; number++) {
			submit("job" + number);
			runFor(500);
		}
		// when
		submit("last");
		runFor(1_000);
		this.store.carryOut();
		runFor(1_000);
		// then
		assertThat(this.service.queuedJobs("queue").get()).isEqualTo(late + 1);
	}

	/** As above, with a publication in force before. */
	@Test
	void aPublicationThatTakesEffectLateDoesNotReplaceOneThatFollowedOthers() {
		// given
		submit("first");
		runFor(500);
		this.store.holdBack(1, HousekeepingTests::publishesCounts);
		submit("second");
		runFor(500);
		// when
		submit("third");
		runFor(500);
		// then
		assertThat(this.store.carryOut()).isZero();
		assertThat(this.service.queuedJobs("queue").get()).isEqualTo(3);
	}

	/**
	 * Guards against the counts of an earlier coordinator that stay although no job is
	 * queued any more.
	 */
	@Test
	void aNewTermReplacesTheCountsOfTheOneBefore() {
		// given
		submit("job");
		runFor(500);
		// when
		Option<KvEntry> key = this.store.read(StoreKeys.COORDINATOR).get();
		startCoordinator(key.get().revision());
		runFor(500);
		// then
		assertThat(this.service.queuedJobs("queue").get()).isZero();
	}

	/**
	 * Guards against an accepted job whose records are removed: its id was used before,
	 * and the removal of the earlier records took effect late.
	 */
	@Test
	void aRemovalThatTakesEffectLateSparesAJobThatWasSubmittedAgain() {
		// given a job that has ended, whose records were removed by the second attempt
		endJob("again");
		this.store.holdBack(1, (transaction) -> !transaction.removes().isEmpty());
		runFor(KEEP_ENDED_MS + 11_000);
		assertThat(this.service.phase("again").get()).isEmpty();
		// when
		submit("again");
		this.store.carryOut();
		// then
		assertThat(this.service.phase("again").get()).isNotEmpty();
	}

	/**
	 * Guards against an accepted job that never runs, as the coordinator learns of the
	 * removal of an earlier job with its id together with the new record.
	 */
	@Test
	void aJobThatTakesTheIdOfAnEndedOneIsQueued() {
		// given
		endJob("again");
		// when
		BatchJob job = new BatchJob("again", "queue", "team", "payload", BatchJobServiceTests.job("again").steps(),
				BatchJob.Repeat.ONCE, 77);
		this.scheduler.jobAdded(job, moment());
		// then
		assertThat(this.scheduler.queuedJobsByQueue()).containsEntry("queue", 1);
	}

	@Test
	void theRecordsOfManyEndedJobsAreRemovedWithinTheStoresLimitOfOneTransaction() {
		// given
		for (int number = 0; number < 25; number++) {
			endJob("job" + number);
		}
		// when
		runFor(KEEP_ENDED_MS + 10_000);
		// then
		assertThat(this.memory.list(StoreKeys.WORK).get().entries()).isEmpty();
		assertThat(this.memory.list(StoreKeys.PROGRESS).get().entries()).isEmpty();
		assertThat(this.memory.largestTransaction()).isLessThanOrEqualTo(ClusterStore.TRANSACTION_ENTRIES);
	}

	private static boolean publishesCounts(Transaction transaction) {
		return transaction.puts().stream().anyMatch((put) -> put.key().equals(StoreKeys.QUEUED_JOBS));
	}

	private void startCoordinator(long newToken) {
		this.token = newToken;
		this.scheduler = new ClusterScheduler(
				new ScheduleTimings(10_000, 10_000, 1_500, 400, 3_500, 3_000, 1_000, 5_000), moment());
		this.housekeeping = new Housekeeping(this.store, Runnable::run, newToken, KEEP_ENDED_MS, this::removed);
	}

	private void submit(String id) {
		BatchJob job = BatchJobServiceTests.job(id);
		this.service.submit(job);
		this.scheduler.jobAdded(job, moment());
	}

	/**
	 * Submits and cancels a job, and stores its progress.
	 */
	private void endJob(String id) {
		submit(id);
		this.service.cancel(id);
		this.scheduler.cancelRequested(id, 0, moment());
		ProgressTransaction progress = new ProgressTransaction(this.token,
				this.scheduler.writes(ProgressTransaction.LIMITS));
		progress.apply(this.memory.transact(progress.transaction()), this.scheduler);
	}

	private void runFor(long millis) {
		for (long end = this.now + millis; this.now < end; this.now += 50) {
			this.housekeeping.run(this.scheduler, this.now);
		}
	}

	private void removed(CoordinatorEvent event) {
		switch (event) {
			case CoordinatorEvent.JobForgotten job -> this.scheduler.jobForgotten(job.job(), job.revision());
			case CoordinatorEvent.CancelForgotten cancel ->
				this.scheduler.cancelRequestForgotten(cancel.job(), cancel.revision());
			default -> throw new IllegalArgumentException(event.toString());
		}
	}

	private Moment moment() {
		return new Moment(this.now, this.now);
	}

}
