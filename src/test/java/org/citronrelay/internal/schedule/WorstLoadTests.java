package org.citronrelay.internal.schedule;

import java.util.List;
import java.util.Map;

import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.Resources;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load patterns in which there is far less room than work, replayed without the bench.
 */
class WorstLoadTests {

	private static final Resources WHOLE = new Resources(100_000, 400_000, 8);

	private final BookFixture fixture = new BookFixture();

	@Test
	void urgentGangsPastAllUseDoNotStopOthersRoundAfterRound() {
		// given urgent gangs that could not run while there were no VMs
		for (int number = 0; number < 6; number++) {
			this.fixture.submit("old" + number, "urgent", BookFixture.gang(2, WHOLE, 1_000, true));
		}
		this.fixture.pass(20_000);
		FakeVm first = this.fixture.vm("vm1", "r1");
		FakeVm second = this.fixture.vm("vm2", "r1");
		// when useful work fills the VMs
		for (int number = 0; number < 4; number++) {
			this.fixture.submit("bulk" + number, "bulk", BookFixture.step(8, BookFixture.SMALL, 4_000));
		}
		this.fixture.pass(15_000);
		// then nothing was stopped, and the gangs had their turn in the end
		assertThat(stops(first) + stops(second)).isZero();
		this.fixture.pass(20_000);
		assertThat(this.fixture.jobs.keySet())
			.allSatisfy((job) -> assertThat(this.fixture.phase(job)).as(job).isEqualTo("COMPLETED"));
	}

	@Test
	void lateUrgentWorkStopsNothing() {
		// given
		this.fixture.submit("late", "urgent", BookFixture.step(1, WHOLE, 1_000));
		this.fixture.submit("beyond", "urgent", BookFixture.step(1, WHOLE, 1_000));
		this.fixture.pass(3_000);
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("bulk", "bulk", BookFixture.step(8, BookFixture.SMALL, 3_000));
		// when
		this.fixture.pass(12_000);
		// then
		assertThat(stops(vm)).isZero();
		assertThat(this.fixture.phase("late")).isEqualTo("COMPLETED");
	}

	@Test
	void aGangOfWholeVmsStartsThoughSmallTasksKeepComing() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.vm("vm2", "r1");
		for (int number = 0; number < 20; number++) {
			this.fixture.submit("early" + number, "bulk", BookFixture.step(1, BookFixture.SMALL, 300 * number + 500));
		}
		this.fixture.pass(300);
		// when
		this.fixture.submit("gang", "normal", BookFixture.gang(2, WHOLE, 1_000, true));
		for (int number = 0; number < 60; number++) {
			this.fixture.submit("late" + number, "bulk", BookFixture.step(2, BookFixture.SMALL, 3_000));
			this.fixture.pass(200);
		}
		// then
		assertThat(this.fixture.phase("gang")).isEqualTo("COMPLETED");
	}

	@Test
	void aTeamWithinItsGuaranteeTakesRoomFromUrgentWorkOfATeamBeyondIts() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.book.catalogue(twoTeams());
		submitFor("greedy", "greedy", 8);
		submitFor("greedy", "more", 8);
		this.fixture.pass(500);
		// when
		submitFor("modest", "promised", 4);
		this.fixture.pass(600);
		// then
		assertThat(this.fixture.startsOf("promised")).isEqualTo(1);
	}

	@Test
	void aPromisedGangIsSpreadOverRacksWhenNoRackCanBeCleared() {
		// given promised work on one VM of each rack, and bulk work on the other
		QueueCatalogue one = BookFixture.catalogue();
		this.fixture.book.catalogue(new QueueCatalogue(2, one.entries(),
				Map.of("team", new QueueCatalogue.Team("team", 32)), one.teamsByKey(), one.bodyBytes()));
		this.fixture.vm("vm1", "r1");
		this.fixture.vm("vm2", "r2");
		this.fixture.submit("first", "urgent", BookFixture.step(2, WHOLE, 60_000));
		this.fixture.pass(500);
		FakeVm third = this.fixture.vm("vm3", "r1");
		FakeVm fourth = this.fixture.vm("vm4", "r2");
		this.fixture.submit("bulk", "bulk", BookFixture.step(16, BookFixture.SMALL, 60_000));
		this.fixture.pass(500);
		// when
		this.fixture.submit("gang", "urgent", BookFixture.gang(2, WHOLE, 60_000, true));
		this.fixture.pass(2_500);
		// then
		assertThat(this.fixture.startsOf("gang")).isEqualTo(2);
		assertThat(stops(third) + stops(fourth)).isEqualTo(16);
	}

	@Test
	void aGangIsSpreadOverRacksWhenNoRackIsFreeButMostVmsAre() {
		// given one busy VM in each rack
		for (int rack = 0; rack < 3; rack++) {
			this.fixture.vm("busy" + rack, "r" + rack);
		}
		for (int number = 0; number < 3; number++) {
			this.fixture.submit("long" + number, "normal", BookFixture.step(1, WHOLE, 60_000));
		}
		this.fixture.pass(500);
		for (int rack = 0; rack < 3; rack++) {
			this.fixture.vm("free" + rack, "r" + rack);
			this.fixture.vm("also-free" + rack, "r" + rack);
		}
		this.fixture.pass(500);
		// when
		this.fixture.submit("gang", "normal", BookFixture.gang(3, WHOLE, 1_000, true));
		this.fixture.pass(3_000);
		// then
		assertThat(this.fixture.startsOf("gang")).isEqualTo(3);
	}

	@Test
	void aTaskReturnsToAVmOnWhichItFailedWhenThereIsNoOther() {
		// given
		FakeVm only = this.fixture.vm("vm1", "r1");
		only.failing = true;
		this.fixture.submit("job", "normal", BookFixture.step(1, BookFixture.SMALL, 500));
		this.fixture.pass(200);
		// when
		only.failing = false;
		this.fixture.pass(10_000);
		// then
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	private long stops(FakeVm vm) {
		return this.fixture.seen.stream()
			.filter((effect) -> effect instanceof Effect.Stop stop && stop.vm().id().equals(vm.id))
			.count();
	}

	private void submitFor(String team, String id, long accelerators) {
		BatchJob job = new BatchJob(id, "urgent", team, "payload",
				List.of(BookFixture.step(1, new Resources(10_000, 30_000, accelerators), 60_000)), BatchJob.Repeat.ONCE,
				this.fixture.now);
		this.fixture.jobs.put(id, job);
		this.fixture.book.jobStored(job, this.fixture.moment());
	}

	private static QueueCatalogue twoTeams() {
		QueueCatalogue one = BookFixture.catalogue();
		return new QueueCatalogue(2, one.entries(),
				Map.of("greedy", new QueueCatalogue.Team("greedy", 2), "modest", new QueueCatalogue.Team("modest", 4)),
				one.teamsByKey(), one.bodyBytes());
	}

}
