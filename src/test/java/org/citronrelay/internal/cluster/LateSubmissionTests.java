package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Map;

import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.schedule.ClusterScheduler;
import org.citronrelay.internal.schedule.JobPhase;
import org.citronrelay.internal.schedule.Moment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a job that runs although its cancellation was answered, as a submission
 * that was under way took effect afterwards.
 */
class LateSubmissionTests {

	private static final String JOB = "a";

	private static final long KEEP_ENDED_MS = 120_000;

	private final InMemoryClusterStore memory = new InMemoryClusterStore();

	/** The way to the store of the process that the job is submitted to. */
	private final LateWriteStore lateStore = new LateWriteStore(this.memory);

	private long now = 1_000_000;

	private final BatchJobService submitting = service(this.lateStore);

	private final BatchJobService other = service(this.memory);

	private final BatchJob job = BatchJobServiceTests.job(JOB);

	@Test
	void aSubmissionThatTakesEffectAfterItsCancellationStoresNothing() {
		// given
		submitWithoutAnswer();
		// when
		assertThat(this.other.cancel(JOB).get()).isEmpty();
		// then
		assertThat(this.lateStore.carryOut()).isZero();
		assertThat(this.other.phase(JOB).get()).isEmpty();
	}

	@Test
	void theProcessOfTheSubmissionKeepsTheCancellationToo() {
		// given
		submitWithoutAnswer();
		// when
		this.submitting.cancel(JOB);
		// then
		assertThat(this.lateStore.carryOut()).isZero();
	}

	@Test
	void aSubmissionThatIsRepeatedAfterItsCancellationIsToldOfIt() {
		// given
		submitWithoutAnswer();
		this.other.cancel(JOB);
		// then
		assertThat(this.other.submit(this.job)).isInstanceOf(Submission.Cancelled.class);
		assertThat(this.submitting.submit(this.job)).isInstanceOf(Submission.Cancelled.class);
		assertThat(this.other.phase(JOB).get()).isEmpty();
	}

	@Test
	void aSubmissionIsToldOfACancellationThatWasStoredWhileItWaitedForItsAnswer() {
		// given a first write without an answer, after which the job is cancelled
		this.lateStore.holdBack(1, (transaction) -> {
			this.other.cancel(JOB);
			return true;
		});
		// then the second write tells
		assertThat(this.submitting.submit(this.job)).isInstanceOf(Submission.Cancelled.class);
		assertThat(this.lateStore.carryOut()).isZero();
	}

	@Test
	void aCancellationOfAJobThatWasSubmittedElsewhereInTheMeantimeCancelsIt() {
		// given
		submitWithoutAnswer();
		this.other.submit(this.job);
		// then
		assertThat(this.other.cancel(JOB).get().get()).isEqualTo(JobPhase.CANCELLED);
		assertThat(this.lateStore.carryOut()).isZero();
	}

	@Test
	void aCancellationOfAJobThatIsSubmittedBetweenItsReadAndItsWriteCancelsIt() {
		// given a job that is submitted just before the cancellation is written
		boolean[] submitted = new boolean[1];
		this.lateStore.holdBack(1, (transaction) -> {
			if (!submitted[0]) {
				submitted[0] = true;
				this.other.submit(this.job);
			}
			return false;
		});
		// then
		assertThat(this.submitting.cancel(JOB).get().get()).isEqualTo(JobPhase.CANCELLED);
	}

	@Test
	void aCancellationThatIsRepeatedIsAnsweredInTheSameWay() {
		assertThat(this.other.cancel(JOB).get()).isEmpty();
		assertThat(this.other.cancel(JOB).get()).isEmpty();
	}

	@Test
	void aCancellationWithoutAnAnswerIsNotConfirmed() {
		// given
		this.lateStore.holdBack(Integer.MAX_VALUE - 1, (transaction) -> true);
		// then
		assertThat(this.submitting.cancel(JOB).isLeft()).isTrue();
	}

	/** Guards against a late cancellation that cancels a later job with the same id. */
	@Test
	void aCancellationThatTakesEffectAfterItsJobWasForgottenStoresNothing() {
		// given a cancellation whose writes are not answered
		this.other.submit(this.job);
		this.lateStore.holdBack(Integer.MAX_VALUE - 1, (transaction) -> true);
		this.submitting.cancel(JOB);
		// when the job was removed and submitted again
		this.memory.transact(new Transaction(Map.of(), List.of(), List.of(StoreKeys.JOBS + JOB)));
		this.other.submit(this.job);
		// then
		assertThat(this.lateStore.carryOut()).isZero();
	}

	@Test
	void aSubmissionOfAProcessThatStoodStillIsNotSent() {
		// given a process that is suspended before it sends the submission
		boolean[] suspended = new boolean[1];
		BatchJobService suspendedService = new BatchJobService(this.memory, () -> {
			long before = this.now;
			this.now += (suspended[0]) ? 0 : 60_000;
			suspended[0] = true;
			return before;
		}, () -> StoreReachability.REACHABLE, (key, value) -> {
		});
		// then
		assertThat(suspendedService.submit(this.job)).isInstanceOf(Submission.Refused.class);
		assertThat(this.memory.list(StoreKeys.JOBS).get().entries()).isEmpty();
	}

	@Test
	void theCancellationOfAnUnknownJobIsRemovedAfterTheRetentionTimeOnly() {
		// given
		this.other.cancel(JOB);
		ClusterScheduler scheduler = scheduler();
		Housekeeping housekeeping = housekeeping(scheduler);
		scheduler.cancelRequested(JOB, this.memory.read(StoreKeys.CANCELS + JOB).get().get().revision(), moment());
		// when
		runFor(housekeeping, scheduler, KEEP_ENDED_MS - 5_000);
		assertThat(this.other.submit(this.job)).isInstanceOf(Submission.Cancelled.class);
		runFor(housekeeping, scheduler, 15_000);
		// then
		assertThat(this.memory.list(StoreKeys.WORK).get().entries()).isEmpty();
		assertThat(scheduler.cancelRequestsWithoutJobBefore(this.now + 1)).isEmpty();
		assertThat(this.other.submit(this.job)).isInstanceOf(Submission.Accepted.class);
	}

	@Test
	void theCancellationOfAnUnknownJobThatWasReportedByANoticeOnlyIsForgotten() {
		// given
		ClusterScheduler scheduler = scheduler();
		Housekeeping housekeeping = housekeeping(scheduler);
		// when
		scheduler.cancelRequested(JOB, 0, moment());
		runFor(housekeeping, scheduler, KEEP_ENDED_MS + 10_000);
		// then
		assertThat(scheduler.cancelRequestsWithoutJobBefore(this.now + 1)).isEmpty();
	}

	private ClusterScheduler scheduler() {
		return new ClusterScheduler(ClusterSettings.Coordination.DEFAULT.timings(), moment());
	}

	private Housekeeping housekeeping(ClusterScheduler scheduler) {
		long token = this.memory.transact(Transaction.create(StoreKeys.COORDINATOR, new byte[0], "")).get();
		return new Housekeeping(this.memory, Runnable::run, token, KEEP_ENDED_MS, (event) -> {
			CoordinatorEvent.CancelForgotten forgotten = (CoordinatorEvent.CancelForgotten) event;
			scheduler.cancelRequestForgotten(forgotten.job(), forgotten.revision());
		});
	}

	private void runFor(Housekeeping housekeeping, ClusterScheduler scheduler, long millis) {
		for (long end = this.now + millis; this.now < end; this.now += 1_000) {
			housekeeping.run(scheduler, this.now);
		}
	}

	private void submitWithoutAnswer() {
		this.lateStore.holdBack(Integer.MAX_VALUE - 1, (transaction) -> true);
		assertThat(this.submitting.submit(this.job)).isInstanceOf(Submission.Unknown.class);
		this.lateStore.holdBack(0, (transaction) -> false);
	}

	private BatchJobService service(ClusterStore store) {
		return new BatchJobService(store, () -> this.now += 10, () -> StoreReachability.REACHABLE, (key, value) -> {
		});
	}

	private Moment moment() {
		return new Moment(this.now, this.now);
	}

}
