package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Map;

import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.schedule.ClusterScheduler;
import org.citronrelay.internal.schedule.JobPhase;
import org.citronrelay.internal.schedule.Moment;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a takeover that takes the longer the more jobs have ended, as the new
 * coordinator loads their records: an ended job leaves its progress only, which has to do
 * for all that is asked about it.
 */
class EndedJobRecordsTests {

	private static final long KEEP_ENDED_MS = 120_000;

	private final InMemoryClusterStore memory = new InMemoryClusterStore();

	private final LateWriteStore store = new LateWriteStore(this.memory);

	private final BatchJobService service = service(this.store);

	private final BatchJob job = BatchJobServiceTests.job("a");

	private long now = 1_000_000;

	private long token;

	private ClusterScheduler scheduler;

	@BeforeEach
	void elect() {
		this.token = this.memory.transact(Transaction.create(StoreKeys.COORDINATOR, new byte[0], "")).get();
		takeOver();
	}

	@Test
	void anEndedJobLeavesItsProgressOnly() {
		// when
		runToItsEnd();
		// then
		assertThat(this.memory.list(StoreKeys.WORK).get().entries()).isEmpty();
		assertThat(this.memory.list(StoreKeys.PROGRESS).get().entries()).hasSize(1);
		assertThat(this.service.phase("a").get().get()).isEqualTo(JobPhase.CANCELLED);
	}

	@Test
	void aJobThatIsSubmittedAgainAfterItsEndIsNotStoredAgain() {
		// given
		runToItsEnd();
		// when
		Submission again = this.service.submit(this.job);
		// then
		assertThat(again).isInstanceOf(Submission.Accepted.class);
		assertThat(this.memory.list(StoreKeys.JOBS).get().entries()).isEmpty();
	}

	@Test
	void anotherJobUnderTheIdOfAnEndedOneIsNotAccepted() {
		// given
		runToItsEnd();
		// when
		BatchJob other = new BatchJob("a", "queue", "team", "other", this.job.steps(), BatchJob.Repeat.ONCE, 0);
		// then
		assertThat(this.service.submit(other)).isInstanceOf(Submission.IdTaken.class);
	}

	@Test
	void aSubmissionThatTakesEffectAfterTheEndOfItsJobStoresNothing() {
		// given a submission whose first write is not answered
		this.store.holdBack(1, (transaction) -> true);
		runToItsEnd();
		// then
		assertThat(this.store.carryOut()).isZero();
	}

	@Test
	void aNoticeOfAJobThatArrivesAfterItsEndDoesNotRunItAgain() {
		// given
		runToItsEnd();
		takeOver();
		// when
		this.scheduler.jobAdded(this.job, moment());
		// then
		assertThat(this.scheduler.queuedJobsByQueue()).isEmpty();
	}

	@Test
	void aJobThatEndsWhileItsPhaseIsReadIsKnown() {
		// given a job that ends after its progress was looked up
		this.service.submit(this.job);
		boolean[] ended = new boolean[1];
		BatchJobService reader = service(new InterceptedStore(this.store, (key) -> {
			if (key.startsWith(StoreKeys.JOBS) && !ended[0]) {
				ended[0] = true;
				runToItsEnd();
			}
		}));
		// then
		assertThat(reader.phase("a").get().get()).isEqualTo(JobPhase.CANCELLED);
	}

	/** Guards against records that are kept for ever after one lost answer. */
	@Test
	void recordsWhoseRemovalWasNotAnsweredDoNotKeepTheOthersFromBeingRemoved() {
		// given
		runToItsEnd();
		takeOver();
		Housekeeping housekeeping = new Housekeeping(this.store, Runnable::run, this.token, KEEP_ENDED_MS, (event) -> {
			CoordinatorEvent.JobForgotten forgotten = (CoordinatorEvent.JobForgotten) event;
			this.scheduler.jobForgotten(forgotten.job(), forgotten.revision());
		});
		this.now += KEEP_ENDED_MS + 1;
		this.memory.loseAnswers(2);
		// when
		for (int second = 0; second < 20; second++) {
			this.now += 1_000;
			housekeeping.run(this.scheduler, this.now);
		}
		// then
		assertThat(this.scheduler.endedBefore(this.now)).isEmpty();
		assertThat(this.memory.list(StoreKeys.PROGRESS).get().entries()).isEmpty();
	}

	@Test
	void theIdOfAnEndedJobIsFreeAfterItsRetentionTime() {
		// given
		runToItsEnd();
		takeOver();
		Map<String, Long> ended = this.scheduler.endedBefore(this.now + 1);
		// when
		this.memory.transact(new Transaction(Map.of(), List.of(), List.of(StoreKeys.PROGRESS + "a")));
		this.scheduler.jobForgotten("a", ended.get("a"));
		this.scheduler.jobAdded(this.job, moment());
		// then
		assertThat(this.scheduler.queuedJobsByQueue()).containsEntry("queue", 1);
	}

	private void runToItsEnd() {
		this.service.submit(this.job);
		this.scheduler.jobAdded(this.job, moment());
		this.service.cancel("a");
		this.scheduler.cancelRequested("a", 0, moment());
		ProgressTransaction progress = new ProgressTransaction(this.token,
				this.scheduler.writes(ProgressTransaction.LIMITS));
		progress.apply(this.memory.transact(progress.transaction()), this.scheduler);
	}

	private void takeOver() {
		this.scheduler = new ClusterScheduler(ClusterSettings.Coordination.DEFAULT.timings(), moment());
		this.memory.list(StoreKeys.PROGRESS)
			.get()
			.entries()
			.forEach((entry) -> this.scheduler.restoreProgress(entry.key().substring(StoreKeys.PROGRESS.length()),
					entry.value(), entry.revision(), moment()));
	}

	private BatchJobService service(ClusterStore on) {
		return new BatchJobService(on, () -> this.now += 10, () -> StoreReachability.REACHABLE, (key, value) -> {
		});
	}

	private Moment moment() {
		return new Moment(this.now, this.now);
	}

}
