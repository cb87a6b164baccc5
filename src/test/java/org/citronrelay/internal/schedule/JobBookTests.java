package org.citronrelay.internal.schedule;

import java.util.List;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.Step;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the coordinator's decisions.
 */
class JobBookTests {

	private final BookFixture fixture = new BookFixture();

	@Test
	void aJobOfTwoStepsRunsThemInOrderAndCompletes() {
		// given
		this.fixture.vm("vm1", "r1");
		Step second = new Step(2, BookFixture.SMALL, 500, List.of(0), Step.Shape.INDEPENDENT, Step.Limits.NONE, false);
		// when
		this.fixture.submit("job", "bulk", BookFixture.step(2, BookFixture.SMALL, 1_000), second);
		this.fixture.pass(900);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
		this.fixture.pass(2_000);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
		assertThat(this.fixture.startsOf("job")).isEqualTo(4);
	}

	@Test
	void aTaskPlacedOnAVmThatWasIdleForLongIsNotTakenForLapsed() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.submit("first", "bulk", BookFixture.step(1, BookFixture.SMALL, 500));
		this.fixture.pass(1_000);
		this.fixture.pass(60_000);
		// when
		this.fixture.submit("second", "bulk", BookFixture.step(1, BookFixture.SMALL, 500));
		this.fixture.pass(1_000);
		// then
		assertThat(this.fixture.startsOf("second")).isEqualTo(1);
		assertThat(this.fixture.phase("second")).isEqualTo("COMPLETED");
	}

	@Test
	void aNewCoordinatorKeepsWhatRuns() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.vm("vm2", "r1");
		this.fixture.submit("job", "bulk", BookFixture.step(12, BookFixture.SMALL, 8_000));
		this.fixture.pass(1_000);
		// when
		this.fixture.takeOver();
		this.fixture.pass(9_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(12);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void aNewCoordinatorStartsNothingTwiceWhileAVmIsCutOff() {
		// given
		FakeVm first = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", BookFixture.step(1, BookFixture.SMALL, 30_000));
		this.fixture.pass(1_000);
		this.fixture.vm("vm2", "r1");
		// when
		first.cut = true;
		this.fixture.takeOver();
		this.fixture.pass(8_500);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(1);
		this.fixture.pass(4_000);
		assertThat(this.fixture.startsOf("job")).as("starts once the lease has surely ended").isEqualTo(2);
	}

	@Test
	void aNewCoordinatorDoesNotCountLongEndedJobsAsForgettable() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", BookFixture.step(1, BookFixture.SMALL, 100));
		this.fixture.pass(1_000);
		// when
		this.fixture.takeOver();
		// then
		assertThat(this.fixture.book.endedBefore(this.fixture.now - 120_000)).isEmpty();
	}

	@Test
	void anEndIsNotAcknowledgedBeforeItIsStored() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", BookFixture.step(1, BookFixture.SMALL, 500));
		this.fixture.pass(300);
		// when
		this.fixture.storeAway = true;
		this.fixture.pass(3_000);
		// then
		assertThat(vm.ended).hasSize(1);
		this.fixture.storeAway = false;
		this.fixture.pass(1_000);
		assertThat(vm.ended).isEmpty();
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void theEndsOfAllMembersOfAGangAreAcknowledgedOnlyOnceTheGangsEndIsStored() {
		// given
		Resources whole = new Resources(52_000, 210_000, 8);
		FakeVm first = this.fixture.vm("vm1", "r1");
		FakeVm second = this.fixture.vm("vm2", "r1");
		this.fixture.submit("job", "normal", BookFixture.gang(2, whole, 500, true));
		this.fixture.pass(300);
		// when
		this.fixture.storeAway = true;
		this.fixture.pass(5_000);
		// then
		assertThat(first.ended).hasSize(1);
		assertThat(second.ended).hasSize(1);
		this.fixture.storeAway = false;
		this.fixture.pass(2_000);
		assertThat(first.ended).isEmpty();
		assertThat(second.ended).isEmpty();
	}

	@Test
	void noRunStartsBeforeItIsRecorded() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.pass(100);
		// when
		this.fixture.storeAway = true;
		this.fixture.submit("job", "bulk", BookFixture.step(1, BookFixture.SMALL, 500));
		this.fixture.pass(2_000);
		// then
		assertThat(this.fixture.startsOf("job")).isZero();
	}

	@Test
	void aCancelledJobStopsAndNeverStartsAgain() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", BookFixture.step(20, BookFixture.SMALL, 5_000));
		this.fixture.pass(500);
		long before = this.fixture.startsOf("job");
		// when
		this.fixture.book.cancelled("job", this.fixture.moment());
		this.fixture.pass(10_000);
		// then
		assertThat(vm.running).isEmpty();
		assertThat(this.fixture.startsOf("job")).isEqualTo(before);
		assertThat(this.fixture.phase("job")).isEqualTo("CANCELLED");
	}

	@Test
	void aCancellationThatIsReadBeforeItsJobHolds() {
		// given
		this.fixture.vm("vm1", "r1");
		// when
		this.fixture.book.cancelled("job", this.fixture.moment());
		this.fixture.submit("job", "bulk", BookFixture.step(1, BookFixture.SMALL, 500));
		this.fixture.pass(1_000);
		// then
		assertThat(this.fixture.startsOf("job")).isZero();
		assertThat(this.fixture.phase("job")).isEqualTo("CANCELLED");
	}

	@Test
	void aTaskThatFailsAsOftenAsItsQueueAllowsFailsItsJob() {
		// given
		this.fixture.vm("vm1", "r1").failing = true;
		this.fixture.vm("vm2", "r1").failing = true;
		this.fixture.vm("vm3", "r1").failing = true;
		// when
		this.fixture.submit("job", "urgent", BookFixture.step(1, BookFixture.SMALL, 500));
		this.fixture.pass(20_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
		assertThat(this.fixture.phase("job")).isEqualTo("FAILED");
	}

	@Test
	void aGangStartsOnlyWithAllItsMembersInOneRack() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.vm("vm2", "r2");
		FakeVm other = this.fixture.vm("vm3", "r2");
		Resources whole = new Resources(52_000, 210_000, 8);
		// when
		this.fixture.submit("blocker", "normal", BookFixture.step(1, whole, 3_000));
		this.fixture.pass(200);
		this.fixture.submit("gang", "normal", BookFixture.gang(2, whole, 1_000, true));
		this.fixture.pass(300);
		// then
		assertThat(this.fixture.startsOf("gang")).isIn(0L, 2L);
		this.fixture.pass(6_000);
		assertThat(this.fixture.phase("gang")).isEqualTo("COMPLETED");
		assertThat(other.ended).isEmpty();
	}

	@Test
	void urgentWorkStopsLessUrgentRunsWhenThereIsNoRoom() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("bulk", "bulk", BookFixture.step(8, BookFixture.SMALL, 60_000));
		this.fixture.pass(1_000);
		// when
		this.fixture.submit("urgent", "urgent", BookFixture.step(1, new Resources(15_000, 61_000, 4), 1_000));
		this.fixture.pass(500);
		// then
		assertThat(this.fixture.startsOf("urgent")).isEqualTo(1);
		assertThat(vm.free().accelerators()).isNotNegative();
		assertThat(vm.running).hasSize(5);
	}

	@Test
	void aTeamWithinItsGuaranteeGetsItsRoomAtAnyCost() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.submit("long", "normal", BookFixture.step(1, new Resources(100_000, 400_000, 8), 600_000));
		this.fixture.pass(120_000);
		// when
		this.fixture.submit("urgent", "urgent", BookFixture.step(1, BookFixture.SMALL, 1_000));
		this.fixture.pass(500);
		// then
		assertThat(this.fixture.startsOf("urgent")).isEqualTo(1);
	}

	@Test
	void beyondItsGuaranteeUrgentWorkDoesNotCostOthersFarMoreThanItIsWorth() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("long", "normal", BookFixture.step(1, new Resources(100_000, 400_000, 8), 600_000));
		this.fixture.pass(120_000);
		// when
		this.fixture.submit("urgent1", "urgent", BookFixture.step(8, BookFixture.SMALL, 1_000));
		this.fixture.submit("urgent2", "urgent", BookFixture.step(8, BookFixture.SMALL, 1_000));
		this.fixture.pass(500);
		// then
		assertThat(this.fixture.startsOf("urgent1")).isZero();
		assertThat(vm.running).hasSize(1);
	}

	@Test
	void aNewCoordinatorStopsTheRunsThatLoseLeastAsTheOneBefore() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.submit("old", "bulk", BookFixture.step(4, BookFixture.SMALL, 600_000));
		this.fixture.pass(60_000);
		this.fixture.takeOver();
		this.fixture.pass(1_000);
		// when
		this.fixture.submit("new", "bulk", BookFixture.step(4, BookFixture.SMALL, 600_000));
		this.fixture.pass(2_000);
		this.fixture.submit("urgent", "urgent", BookFixture.step(4, BookFixture.SMALL, 1_000));
		this.fixture.pass(300);
		// then
		assertThat(this.fixture.startsOf("urgent")).isEqualTo(4);
		assertThat(this.fixture.vms.get("vm1").running.keySet()).filteredOn((task) -> task.job().equals("old"))
			.hasSize(4);
	}

	@Test
	void aVmThatStartsAgainRunsNothingOfBefore() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", BookFixture.step(1, BookFixture.SMALL, 2_000));
		this.fixture.pass(500);
		// when
		vm.running.clear();
		vm.boot = 2;
		this.fixture.book.vmSeen(vm.report(), this.fixture.moment());
		this.fixture.pass(3_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void whatRanOnAVmThatWentAwayStartsElsewhereOnceItsLeaseHasSurelyEnded() {
		// given
		FakeVm gone = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", BookFixture.step(1, BookFixture.SMALL, 6_000));
		this.fixture.pass(1_000);
		this.fixture.vm("vm2", "r1");
		// when
		gone.cut = true;
		this.fixture.book.vmGone("vm1", this.fixture.moment());
		this.fixture.pass(8_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(1);
		this.fixture.pass(12_000);
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void aGangOfWhichOneMemberCannotBeginIsStoppedBeforeTheOthersAreAloneTooLong() {
		// given a VM that is cut off just before the gang starts
		FakeVm first = this.fixture.vm("vm1", "r1");
		FakeVm hidden = this.fixture.vm("vm2", "r1");
		this.fixture.pass(300);
		hidden.cut = true;
		// when
		this.fixture.submit("job", "normal", BookFixture.gang(2, new Resources(52_000, 210_000, 8), 1_000, false));
		this.fixture.pass(2_500);
		// then
		assertThat(first.running).isEmpty();
	}

	@Test
	void whatRanOnAVmThatLeftStartsElsewhereAtOnce() {
		// given
		FakeVm leaving = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", BookFixture.step(1, BookFixture.SMALL, 6_000));
		this.fixture.pass(1_000);
		this.fixture.vm("vm2", "r1");
		this.fixture.pass(500);
		// when
		leaving.cut = true;
		leaving.refusing = true;
		leaving.running.clear();
		this.fixture.book.vmGone("vm1", this.fixture.moment());
		this.fixture.pass(1_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
	}

	@Test
	void aVmBehindACutThatRefusesConnectionsCountsAsRunningUntilItsLeaseEnds() {
		// given
		FakeVm hidden = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", BookFixture.step(1, BookFixture.SMALL, 60_000));
		this.fixture.pass(1_000);
		this.fixture.vm("vm2", "r1");
		// when its entry lapses after three heartbeats
		hidden.cut = true;
		hidden.refusing = true;
		this.fixture.pass(4_500);
		this.fixture.book.vmGone("vm1", this.fixture.moment());
		this.fixture.pass(3_500);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(1);
	}

	@Test
	void aGangOfWhichOneMembersVmWentAwayStartsAgainAsAWhole() {
		// given
		FakeVm gone = this.fixture.vm("vm1", "r1");
		this.fixture.vm("vm2", "r1");
		Resources whole = new Resources(52_000, 210_000, 8);
		this.fixture.submit("job", "normal", BookFixture.gang(2, whole, 6_000, false));
		this.fixture.pass(1_000);
		this.fixture.vm("vm3", "r1");
		// when
		gone.cut = true;
		this.fixture.book.vmGone("vm1", this.fixture.moment());
		this.fixture.vms.get("vm2").breakAll();
		this.fixture.pass(25_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(4);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void aTaskThatStandsStillIsMoved() {
		// given
		this.fixture.vm("vm1", "r1").hanging = true;
		this.fixture.submit("job", "bulk", BookFixture.step(1, BookFixture.SMALL, 1_000));
		this.fixture.pass(500);
		// when
		this.fixture.vm("vm2", "r1");
		this.fixture.pass(8_000);
		// then
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

}
