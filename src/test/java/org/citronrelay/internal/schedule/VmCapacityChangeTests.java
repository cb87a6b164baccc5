package org.citronrelay.internal.schedule;

import org.citronrelay.internal.batch.Resources;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of VMs whose capacity shrinks and grows while they run.
 */
class VmCapacityChangeTests {

	private static final Resources HALF_VM = new Resources(64_000, 256_000, 4);

	private static final Resources THIRD_OF_VM = new Resources(42_000, 170_000, 2);

	private final SchedulerFixture fixture = new SchedulerFixture();

	@Test
	void aStartIsWithdrawnIfItsVmShrinksBeforeTheCommandIsIssued() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("first", "bulk", SchedulerFixture.step(1, HALF_VM, 5_000));
		this.fixture.advanceTime(500);
		// when
		this.fixture.storeUnavailable = true;
		this.fixture.submit("second", "bulk", SchedulerFixture.step(1, HALF_VM, 5_000));
		this.fixture.advanceTime(200);
		vm.resize(HALF_VM);
		this.fixture.storeUnavailable = false;
		this.fixture.advanceTime(3_000);
		// then
		assertThat(this.fixture.violations).isEmpty();
		vm.resize(SchedulerFixture.CAPACITY);
		this.fixture.advanceTime(7_000);
		assertThat(this.fixture.phase("second")).isEqualTo("COMPLETED");
	}

	@Test
	void aStartWithoutAnAnswerIsNotRepeatedOnAVmThatHasShrunk() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("first", "bulk", SchedulerFixture.step(1, HALF_VM, 9_000));
		this.fixture.advanceTime(500);
		// when
		vm.unreachable = true;
		this.fixture.submit("second", "bulk", SchedulerFixture.step(1, HALF_VM, 5_000));
		this.fixture.advanceTime(200);
		vm.resize(HALF_VM);
		vm.unreachable = false;
		this.fixture.advanceTime(3_000);
		// then
		assertThat(this.fixture.violations).isEmpty();
	}

	@Test
	void runsGoOnWhenTheirVmShrinksBelowWhatTheyTake() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(3, THIRD_OF_VM, 5_000));
		this.fixture.advanceTime(500);
		// when
		vm.resize(HALF_VM);
		this.fixture.advanceTime(6_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(3);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void runsGoOnWhenTheirVmShrinksAndTheCoordinatorChanges() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(3, THIRD_OF_VM, 5_000));
		this.fixture.advanceTime(500);
		// when
		vm.capacity = HALF_VM;
		vm.renewWaitMs = 500;
		this.fixture.startNewCoordinator();
		this.fixture.advanceTime(7_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(3);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void aGangIsNotSpreadOverRacksBecauseAVmIsSmallForAMoment() {
		// given
		this.fixture.vm("vm1", "r1");
		FakeVm shrunk = this.fixture.vm("vm2", "r1");
		this.fixture.vm("vm3", "r2");
		this.fixture.advanceTime(200);
		shrunk.resize(THIRD_OF_VM);
		// when
		this.fixture.submit("gang", "normal",
				SchedulerFixture.gang(2, new Resources(100_000, 400_000, 8), 3_000, true));
		this.fixture.advanceTime(1_000);
		// then
		assertThat(this.fixture.startsOf("gang")).as("waits for the rack").isZero();
		shrunk.resize(SchedulerFixture.CAPACITY);
		this.fixture.advanceTime(5_000);
		assertThat(this.fixture.phase("gang")).isEqualTo("COMPLETED");
	}

	@Test
	void aGangPlacedWhileOneOfItsVmsShrinksStartsAgainAsAWhole() {
		// given
		this.fixture.vm("vm1", "r1");
		FakeVm shrunk = this.fixture.vm("vm2", "r1");
		this.fixture.advanceTime(200);
		// when
		this.fixture.storeUnavailable = true;
		this.fixture.submit("gang", "normal", SchedulerFixture.gang(4, HALF_VM, 2_000, false));
		this.fixture.advanceTime(200);
		shrunk.resize(HALF_VM);
		this.fixture.storeUnavailable = false;
		this.fixture.advanceTime(2_000);
		shrunk.resize(SchedulerFixture.CAPACITY);
		this.fixture.advanceTime(8_000);
		// then
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.phase("gang")).isEqualTo("COMPLETED");
	}

}
