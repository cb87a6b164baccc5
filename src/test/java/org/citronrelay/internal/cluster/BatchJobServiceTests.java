package org.citronrelay.internal.cluster;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.Step;
import org.citronrelay.internal.schedule.JobPhase;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link BatchJobService}.
 */
class BatchJobServiceTests {

	private final InMemoryClusterStore store = new InMemoryClusterStore();

	private long now;

	private StoreReachability reachability = StoreReachability.REACHABLE;

	private final List<String> notifiedKeys = new ArrayList<>();

	private final BatchJobService service = service(this.store);

	@Test
	void aJobIsAcceptedOnceItIsStored() {
		assertThat(this.service.submit(job("a"))).isInstanceOf(Submission.Accepted.class);
		assertThat(this.service.phase("a").get().get()).isEqualTo(JobPhase.QUEUED);
	}

	@Test
	void aDifferentJobUnderAStoredIdIsNotAccepted() {
		// given
		this.service.submit(job("a"));
		// when
		BatchJob other = job("a", "another payload");
		// then
		assertThat(this.service.submit(other)).isInstanceOf(Submission.IdTaken.class);
	}

	@Test
	void theCoordinatorIsNotifiedOfEachRecordOnce() {
		// when
		this.service.submit(job("a"));
		this.service.submit(job("a"));
		this.service.cancel("a");
		// then
		assertThat(this.notifiedKeys).containsExactly(StoreKeys.JOBS + "a", StoreKeys.CANCELS + "a");
	}

	@Test
	void aJobSubmittedTwiceIsStoredOnce() {
		// given
		this.service.submit(job("a"));
		// when
		Submission again = this.service.submit(job("a"));
		// then
		assertThat(again).isInstanceOf(Submission.Accepted.class);
		assertThat(this.store.list(StoreKeys.JOBS).get().entries()).hasSize(1);
	}

	@Test
	void aJobWhoseWriteTookEffectWithoutAnAnswerIsAccepted() {
		// given
		this.store.loseAnswers(1);
		// when
		Submission submission = this.service.submit(job("a"));
		// then
		assertThat(submission).isInstanceOf(Submission.Accepted.class);
	}

	@Test
	void aJobIsRefusedWhileTheStoreRefusesCalls() {
		// given
		this.store.refuseCalls(true);
		// when
		Submission submission = this.service.submit(job("a"));
		// then
		assertThat(submission).isInstanceOf(Submission.Refused.class);
		this.store.refuseCalls(false);
		assertThat(this.service.phase("a").get()).isEmpty();
	}

	@Test
	void aWriteThatMayHaveTakenEffectIsNeverReportedAsRefused() {
		// given
		ClusterStore unansweredWrite = new UnansweredWriteStore(this.store);
		// when
		Submission submission = service(unansweredWrite).submit(job("a"));
		// then
		assertThat(submission).isInstanceOf(Submission.Unknown.class);
	}

	@Test
	void callersAreRefusedWithoutACallWhileNoWayToTheStoreWorks() {
		// given
		this.reachability = StoreReachability.REACHABLE.failed("no answer", 1);
		// when
		Submission submission = this.service.submit(job("a"));
		// then
		assertThat(submission).isInstanceOf(Submission.Refused.class);
		assertThat(this.store.list(StoreKeys.JOBS).get().entries()).isEmpty();
		assertThat(this.service.phase("a").isLeft()).isTrue();
	}

	@Test
	void thePhaseOfAJobIsUnknownWhileTheStoreRefusesCalls() {
		// given
		this.service.submit(job("a"));
		// when
		this.store.refuseCalls(true);
		// then
		assertThat(this.service.phase("a").isLeft()).isTrue();
		assertThat(this.service.cancel("a").isLeft()).isTrue();
	}

	@Test
	void aCancellationIsStoredBeforeItIsConfirmed() {
		// given
		this.service.submit(job("a"));
		// when
		JobPhase phase = this.service.cancel("a").get().get();
		// then
		assertThat(phase).isEqualTo(JobPhase.CANCELLED);
		assertThat(this.store.read(StoreKeys.CANCELS + "a").get()).isNotEmpty();
		assertThat(this.service.cancel("unknown").get()).isEmpty();
	}

	private BatchJobService service(ClusterStore clusterStore) {
		return new BatchJobService(clusterStore, () -> this.now += 10, () -> this.reachability,
				(key, value) -> this.notifiedKeys.add(key));
	}

	static BatchJob job(String id) {
		return job(id, "payload");
	}

	private static BatchJob job(String id, String payload) {
		Step step = new Step(1, new Resources(1_000, 1_000, 1), 1_000, List.of(), Step.Shape.INDEPENDENT,
				Step.Limits.NONE, false);
		return new BatchJob(id, "queue", "team", payload, List.of(step), BatchJob.Repeat.ONCE, 0);
	}

}
