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
 * Tests of taking jobs in.
 */
class BatchDeskTests {

	private final MemoryStore store = new MemoryStore();

	private long now;

	private long heardAt;

	private final List<String> notices = new ArrayList<>();

	private final BatchDesk desk = desk(this.store);

	@Test
	void aJobIsAcceptedOnceItIsStored() {
		assertThat(this.desk.submit(job("a"))).isInstanceOf(Submission.Accepted.class);
		assertThat(this.desk.phase("a").get().get()).isEqualTo(JobPhase.QUEUED);
	}

	@Test
	void theCoordinatorIsToldOfEachRecordOnce() {
		// when
		this.desk.submit(job("a"));
		this.desk.submit(job("a"));
		this.desk.cancel("a");
		// then
		assertThat(this.notices).containsExactly(Keys.JOBS + "a", Keys.CANCELS + "a");
	}

	@Test
	void theSameJobHandedInTwiceRemainsOneJob() {
		// given
		this.desk.submit(job("a"));
		// when
		Submission again = this.desk.submit(job("a"));
		// then
		assertThat(again).isInstanceOf(Submission.Accepted.class);
		assertThat(this.store.list(Keys.JOBS).get().entries()).hasSize(1);
	}

	@Test
	void aJobWhoseWriteWasNotAnsweredIsFoundStored() {
		// given
		this.store.loseAnswers(1);
		// when
		Submission submission = this.desk.submit(job("a"));
		// then
		assertThat(submission).isInstanceOf(Submission.Accepted.class);
	}

	@Test
	void aJobIsRefusedAtOnceWhileTheStoreTurnsCallsAway() {
		// given
		this.store.away(true);
		// when
		Submission submission = this.desk.submit(job("a"));
		// then
		assertThat(submission).isInstanceOf(Submission.Refused.class);
		this.store.away(false);
		assertThat(this.desk.phase("a").get()).isEmpty();
	}

	@Test
	void aWriteThatMayHaveTakenEffectIsNeverCalledRefused() {
		// given
		ClusterStore silentThenAway = new SilentThenAwayStore(this.store);
		// when
		Submission submission = desk(silentThenAway).submit(job("a"));
		// then
		assertThat(submission).isInstanceOf(Submission.Unknown.class);
	}

	@Test
	void callersAreTurnedAwayAtOnceWhileTheStoreIsKnownToBeSilent() {
		// given
		this.heardAt = -2_001;
		// when
		Submission submission = this.desk.submit(job("a"));
		// then
		assertThat(submission).isInstanceOf(Submission.Refused.class);
		assertThat(this.store.list(Keys.JOBS).get().entries()).isEmpty();
		assertThat(this.desk.phase("a").isLeft()).isTrue();
	}

	@Test
	void nothingIsSaidOfAJobThatCannotBeLookedUp() {
		// given
		this.desk.submit(job("a"));
		// when
		this.store.away(true);
		// then
		assertThat(this.desk.phase("a").isLeft()).isTrue();
		assertThat(this.desk.cancel("a").isLeft()).isTrue();
	}

	@Test
	void aCancellationIsStoredBeforeItIsConfirmed() {
		// given
		this.desk.submit(job("a"));
		// when
		JobPhase phase = this.desk.cancel("a").get().get();
		// then
		assertThat(phase).isEqualTo(JobPhase.CANCELLED);
		assertThat(this.store.read(Keys.CANCELS + "a").get()).isNotEmpty();
		assertThat(this.desk.cancel("unknown").get()).isEmpty();
	}

	private BatchDesk desk(ClusterStore over) {
		return new BatchDesk(over, () -> this.now += 10, () -> this.heardAt, (key, value) -> this.notices.add(key));
	}

	static BatchJob job(String id) {
		Step step = new Step(1, new Resources(1_000, 1_000, 1), 1_000, List.of(), Step.Shape.INDEPENDENT,
				Step.Limits.NONE, false);
		return new BatchJob(id, "queue", "team", "payload", List.of(step), BatchJob.Repeat.ONCE, 0);
	}

}
