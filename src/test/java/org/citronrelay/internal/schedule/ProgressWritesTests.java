package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.citronrelay.internal.batch.BatchJob;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against progress that is never stored, as it is put into one transaction that is
 * too large to be sent, and against jobs that wait behind large ones for ever.
 */
class ProgressWritesTests {

	private static final WriteLimits LIMITS = new WriteLimits(31, 10_000);

	private static final int MANY_TASKS = 1_000;

	private final Map<String, JobState> jobs = new LinkedHashMap<>();

	private final ProgressWrites writes = new ProgressWrites(this.jobs);

	@Test
	void largeJobsAreStoredOneAtATime() {
		// given
		for (int number = 0; number < 12; number++) {
			job("large" + number, MANY_TASKS);
		}
		// then
		for (int round = 0; round < 12; round++) {
			assertThat(this.writes.choose(LIMITS)).hasSize(1);
		}
		assertThat(this.writes.choose(LIMITS)).isEmpty();
	}

	@Test
	void smallJobsAreStoredTogetherWithALargeOne() {
		// given
		job("large0", MANY_TASKS);
		job("small0", 1);
		job("large1", MANY_TASKS);
		job("small1", 1);
		// then
		assertThat(this.writes.choose(LIMITS)).extracting(ProgressWrite::job)
			.containsExactly("large0", "small0", "small1");
	}

	@Test
	void largeJobsThatChangeAllTheTimeKeepNoOtherFromBeingStored() {
		// given more jobs than fit into a transaction, all with new progress after each
		for (int number = 0; number < 40; number++) {
			job("large" + number, MANY_TASKS);
		}
		job("last", 1);
		Set<String> stored = new HashSet<>();
		// when
		for (int round = 0; round < 41; round++) {
			for (ProgressWrite write : this.writes.choose(LIMITS)) {
				stored.add(write.job());
				this.writes.stored(write, 1);
				this.jobs.get(write.job()).unstored = true;
			}
		}
		// then
		assertThat(stored).hasSize(41);
	}

	@Test
	void aJobThatCannotBeStoredKeepsNoOtherFromBeingStored() {
		// given jobs of which one makes each transaction with it fail
		job("unstorable", MANY_TASKS);
		for (int number = 0; number < 5; number++) {
			job("small" + number, 1);
		}
		Set<String> stored = new HashSet<>();
		// when
		for (int round = 0; round < 8; round++) {
			List<ProgressWrite> chosen = this.writes.choose(LIMITS);
			boolean fails = chosen.stream().anyMatch((write) -> write.job().equals("unstorable"));
			for (ProgressWrite write : chosen) {
				if (fails) {
					this.writes.notStored(write, 0);
				}
				else {
					this.writes.stored(write, 1);
					stored.add(write.job());
				}
			}
		}
		// then
		assertThat(stored).hasSize(5);
	}

	@Test
	void noMoreEntriesAreUsedThanATransactionHas() {
		// given
		for (int number = 0; number < 60; number++) {
			JobState job = job("job" + number, 1);
			job.phase = (number % 3 == 0) ? JobPhase.COMPLETED : JobPhase.RUNNING;
		}
		List<String> stored = new ArrayList<>();
		// when
		for (int round = 0; round < 8; round++) {
			List<ProgressWrite> chosen = this.writes.choose(LIMITS);
			assertThat(chosen.stream().mapToInt(ProgressWrite::entries).sum()).isLessThanOrEqualTo(LIMITS.entries());
			chosen.forEach((write) -> stored.add(write.job()));
		}
		// then
		assertThat(stored).hasSize(60).doesNotHaveDuplicates();
	}

	private JobState job(String id, int tasks) {
		JobState job = new JobState(new BatchJob(id, "queue", "team", "payload",
				List.of(SchedulerFixture.step(tasks, SchedulerFixture.SMALL, 1_000)), BatchJob.Repeat.ONCE, 0));
		job.steps.getFirst().tasks.forEach((task) -> task.run = 1);
		job.unstored = true;
		this.jobs.put(id, job);
		return job;
	}

}
