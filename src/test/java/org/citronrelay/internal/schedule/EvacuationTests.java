package org.citronrelay.internal.schedule;

import java.util.List;

import org.citronrelay.internal.batch.Step;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of how runs leave VMs that are taken away at short notice, in virtual time.
 */
class EvacuationTests {

	private final SchedulerFixture fixture = new SchedulerFixture();

	private FakeVm leaving;

	@BeforeEach
	void addVm() {
		this.leaving = this.fixture.vm("leaving", "r1");
	}

	@Test
	void aRunThatSavesCheckpointsMovesShortlyBeforeItsVmShutsDown() {
		// given
		this.fixture.submit("job", "normal", savingStep(20_000));
		this.fixture.advanceTime(1_000);
		this.fixture.vm("staying", "r1");
		// when
		announceShutdown(3_000);
		this.fixture.advanceTime(1_000);
		long stopsEarly = countStops();
		this.fixture.advanceTime(2_000);
		// then
		assertThat(stopsEarly).isZero();
		assertThat(countStops()).isPositive();
		assertThat(startsOn("staying")).isEqualTo(1);
	}

	@Test
	void aRunWithoutCheckpointsThatCannotEndInTimeMovesAtOnce() {
		// given
		this.fixture.submit("job", "normal", SchedulerFixture.step(1, SchedulerFixture.SMALL, 20_000));
		this.fixture.advanceTime(1_000);
		this.fixture.vm("staying", "r1");
		// when
		announceShutdown(3_000);
		this.fixture.advanceTime(300);
		// then
		assertThat(startsOn("staying")).isEqualTo(1);
	}

	@Test
	void aRunThatEndsInTimeStays() {
		// given
		this.fixture.submit("job", "normal", SchedulerFixture.step(1, SchedulerFixture.SMALL, 3_000));
		this.fixture.advanceTime(1_000);
		this.fixture.vm("staying", "r1");
		// when
		announceShutdown(3_000);
		this.fixture.advanceTime(2_500);
		// then
		assertThat(countStops()).isZero();
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void aRunStaysOnAVmThatDrainsWithoutSayingForHowLong() {
		// given
		this.fixture.submit("job", "normal", savingStep(20_000));
		this.fixture.advanceTime(1_000);
		// when
		this.fixture.scheduler.vmRegistered(this.leaving.registration(), this.fixture.moment());
		this.fixture.advanceTime(5_000);
		// then
		assertThat(countStops()).isZero();
	}

	private void announceShutdown(long remainingMs) {
		this.leaving.remainingMs = remainingMs;
		this.fixture.scheduler.vmRegistered(this.leaving.registration(), this.fixture.moment());
	}

	private long countStops() {
		return this.fixture.effects.stream().filter((effect) -> effect instanceof Effect.Stop).count();
	}

	private long startsOn(String vm) {
		return this.fixture.effects.stream()
			.filter((effect) -> effect instanceof Effect.Start start && start.vm().id().equals(vm))
			.count();
	}

	private static Step savingStep(long estimateMs) {
		return new Step(1, SchedulerFixture.SMALL, estimateMs, List.of(), Step.Shape.INDEPENDENT, Step.Limits.NONE,
				true);
	}

}
