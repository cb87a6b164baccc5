package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the decisions of {@link ClusterScheduler}.
 */
class ClusterSchedulerTests {

	private final SchedulerFixture fixture = new SchedulerFixture();

	@Test
	void aJobOfTwoStepsRunsThemInOrderAndCompletes() {
		// given
		this.fixture.vm("vm1", "r1");
		Step second = new Step(2, SchedulerFixture.SMALL, 500, List.of(0), Step.Shape.INDEPENDENT, Step.Limits.NONE,
				false);
		// when
		this.fixture.submit("job", "bulk", SchedulerFixture.step(2, SchedulerFixture.SMALL, 1_000), second);
		this.fixture.advanceTime(900);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
		this.fixture.advanceTime(2_000);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
		assertThat(this.fixture.startsOf("job")).isEqualTo(4);
	}

	@Test
	void aTaskPlacedOnAVmThatWasIdleForLongIsNotTreatedAsLapsed() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.submit("first", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 500));
		this.fixture.advanceTime(1_000);
		this.fixture.advanceTime(60_000);
		// when
		this.fixture.submit("second", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 500));
		this.fixture.advanceTime(1_000);
		// then
		assertThat(this.fixture.startsOf("second")).isEqualTo(1);
		assertThat(this.fixture.phase("second")).isEqualTo("COMPLETED");
	}

	@Test
	void aNewCoordinatorKeepsExistingRuns() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.vm("vm2", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(12, SchedulerFixture.SMALL, 8_000));
		this.fixture.advanceTime(1_000);
		// when
		this.fixture.startNewCoordinator();
		this.fixture.advanceTime(9_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(12);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void aNewCoordinatorStartsNoTaskTwiceWhileAVmIsUnreachable() {
		// given
		FakeVm first = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 30_000));
		this.fixture.advanceTime(1_000);
		this.fixture.vm("vm2", "r1");
		// when
		first.unreachable = true;
		this.fixture.startNewCoordinator();
		this.fixture.advanceTime(8_500);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(1);
		this.fixture.advanceTime(4_000);
		assertThat(this.fixture.startsOf("job")).as("starts once the lease has lapsed").isEqualTo(2);
	}

	@Test
	void aNewCoordinatorKeepsRecordsOfEndedJobsForTheFullRetentionTime() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 100));
		this.fixture.advanceTime(1_000);
		// when
		this.fixture.startNewCoordinator();
		// then
		assertThat(this.fixture.scheduler.endedBefore(this.fixture.now - 120_000)).isEmpty();
	}

	@Test
	void anEndIsNotAcknowledgedBeforeItIsStored() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 500));
		this.fixture.advanceTime(300);
		// when
		this.fixture.storeUnavailable = true;
		this.fixture.advanceTime(3_000);
		// then
		assertThat(vm.ended).hasSize(1);
		this.fixture.storeUnavailable = false;
		this.fixture.advanceTime(1_000);
		assertThat(vm.ended).isEmpty();
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void theEndsOfAllMembersOfAGangAreAcknowledgedOnlyOnceTheGangsEndIsStored() {
		// given
		Resources wholeVm = new Resources(52_000, 210_000, 8);
		FakeVm first = this.fixture.vm("vm1", "r1");
		FakeVm second = this.fixture.vm("vm2", "r1");
		this.fixture.submit("job", "normal", SchedulerFixture.gang(2, wholeVm, 500, true));
		this.fixture.advanceTime(300);
		// when
		this.fixture.storeUnavailable = true;
		this.fixture.advanceTime(5_000);
		// then
		assertThat(first.ended).hasSize(1);
		assertThat(second.ended).hasSize(1);
		this.fixture.storeUnavailable = false;
		this.fixture.advanceTime(2_000);
		assertThat(first.ended).isEmpty();
		assertThat(second.ended).isEmpty();
	}

	@Test
	void noRunStartsBeforeItIsRecorded() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.advanceTime(100);
		// when
		this.fixture.storeUnavailable = true;
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 500));
		this.fixture.advanceTime(2_000);
		// then
		assertThat(this.fixture.startsOf("job")).isZero();
	}

	@Test
	void aCancelledJobStopsAndNeverStartsAgain() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(20, SchedulerFixture.SMALL, 5_000));
		this.fixture.advanceTime(500);
		long before = this.fixture.startsOf("job");
		// when
		this.fixture.scheduler.cancelRequested("job", 0, this.fixture.moment());
		this.fixture.advanceTime(10_000);
		// then
		assertThat(vm.running).isEmpty();
		assertThat(this.fixture.startsOf("job")).isEqualTo(before);
		assertThat(this.fixture.phase("job")).isEqualTo("CANCELLED");
	}

	@Test
	void aCancellationThatArrivesBeforeItsJobTakesEffect() {
		// given
		this.fixture.vm("vm1", "r1");
		// when
		this.fixture.scheduler.cancelRequested("job", 0, this.fixture.moment());
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 500));
		this.fixture.advanceTime(1_000);
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
		this.fixture.submit("job", "urgent", SchedulerFixture.step(1, SchedulerFixture.SMALL, 500));
		this.fixture.advanceTime(20_000);
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
		Resources wholeVm = new Resources(52_000, 210_000, 8);
		// when
		this.fixture.submit("blocker", "normal", SchedulerFixture.step(1, wholeVm, 3_000));
		this.fixture.advanceTime(200);
		this.fixture.submit("gang", "normal", SchedulerFixture.gang(2, wholeVm, 1_000, true));
		this.fixture.advanceTime(300);
		// then
		assertThat(this.fixture.startsOf("gang")).isIn(0L, 2L);
		this.fixture.advanceTime(6_000);
		assertThat(this.fixture.phase("gang")).isEqualTo("COMPLETED");
		assertThat(other.ended).isEmpty();
	}

	@Test
	void urgentWorkPreemptsLessUrgentRunsWhenCapacityIsShort() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("bulk", "bulk", SchedulerFixture.step(8, SchedulerFixture.SMALL, 60_000));
		this.fixture.advanceTime(1_000);
		// when
		this.fixture.submit("urgent", "urgent", SchedulerFixture.step(1, new Resources(15_000, 61_000, 4), 1_000));
		this.fixture.advanceTime(500);
		// then
		assertThat(this.fixture.startsOf("urgent")).isEqualTo(1);
		assertThat(vm.free().accelerators()).isNotNegative();
		assertThat(vm.running).hasSize(5);
	}

	@Test
	void aTeamWithinItsGuaranteeGetsItsCapacityAtAnyCost() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.submit("long", "normal", SchedulerFixture.step(1, new Resources(100_000, 400_000, 8), 600_000));
		this.fixture.advanceTime(120_000);
		// when
		this.fixture.submit("urgent", "urgent", SchedulerFixture.step(1, SchedulerFixture.SMALL, 1_000));
		this.fixture.advanceTime(500);
		// then
		assertThat(this.fixture.startsOf("urgent")).isEqualTo(1);
	}

	@Test
	void urgentWorkBeyondTheGuaranteeDoesNotPreemptMuchLargerWork() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("long", "normal", SchedulerFixture.step(1, new Resources(100_000, 400_000, 8), 600_000));
		this.fixture.advanceTime(120_000);
		// when
		this.fixture.submit("urgent1", "urgent", SchedulerFixture.step(8, SchedulerFixture.SMALL, 1_000));
		this.fixture.submit("urgent2", "urgent", SchedulerFixture.step(8, SchedulerFixture.SMALL, 1_000));
		this.fixture.advanceTime(500);
		// then
		assertThat(this.fixture.startsOf("urgent1")).isZero();
		assertThat(vm.running).hasSize(1);
	}

	@Test
	void aNewCoordinatorPreemptsTheRunsWithTheLeastUnsavedWork() {
		// given
		this.fixture.vm("vm1", "r1");
		this.fixture.submit("old", "bulk", SchedulerFixture.step(4, SchedulerFixture.SMALL, 600_000));
		this.fixture.advanceTime(60_000);
		this.fixture.startNewCoordinator();
		this.fixture.advanceTime(1_000);
		// when
		this.fixture.submit("new", "bulk", SchedulerFixture.step(4, SchedulerFixture.SMALL, 600_000));
		this.fixture.advanceTime(2_000);
		this.fixture.submit("urgent", "urgent", SchedulerFixture.step(4, SchedulerFixture.SMALL, 1_000));
		this.fixture.advanceTime(300);
		// then
		assertThat(this.fixture.startsOf("urgent")).isEqualTo(4);
		assertThat(this.fixture.vms.get("vm1").running.keySet()).filteredOn((task) -> task.job().equals("old"))
			.hasSize(4);
	}

	@Test
	void runsOfAVmThatRebootsAreStartedAgain() {
		// given
		FakeVm vm = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 2_000));
		this.fixture.advanceTime(500);
		// when
		vm.running.clear();
		vm.boot = 2;
		this.fixture.scheduler.vmRegistered(vm.registration(), this.fixture.moment());
		this.fixture.advanceTime(3_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void runsOfAnUnreachableVmStartElsewhereOnlyOnceItsLeaseHasEnded() {
		// given
		FakeVm lost = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 6_000));
		this.fixture.advanceTime(1_000);
		this.fixture.vm("vm2", "r1");
		// when
		lost.unreachable = true;
		this.fixture.scheduler.vmDeregistered("vm1");
		this.fixture.advanceTime(8_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(1);
		this.fixture.advanceTime(12_000);
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void aGangWithAMemberThatCannotStartIsStoppedBeforeTheOthersGiveUpWaiting() {
		// given a VM that becomes unreachable just before the gang starts
		FakeVm first = this.fixture.vm("vm1", "r1");
		FakeVm isolated = this.fixture.vm("vm2", "r1");
		this.fixture.advanceTime(300);
		isolated.unreachable = true;
		// when
		this.fixture.submit("job", "normal", SchedulerFixture.gang(2, new Resources(52_000, 210_000, 8), 1_000, false));
		this.fixture.advanceTime(2_500);
		// then
		assertThat(first.running).isEmpty();
	}

	@Test
	void runsOfAVmThatShutDownStartElsewhereOnceAnotherInstanceAnswersThere() {
		// given
		FakeVm shutDown = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 5_000));
		this.fixture.advanceTime(1_000);
		this.fixture.vm("vm2", "r1");
		this.fixture.advanceTime(500);
		shutDown.remainingMs = 2_000;
		shutDown.register();
		this.fixture.advanceTime(200);
		// when
		shutDown.unreachable = true;
		shutDown.refusingConnections = true;
		shutDown.running.clear();
		this.fixture.scheduler.vmDeregistered("vm1");
		this.fixture.advanceTime(1_000);
		assertThat(this.fixture.startsOf("job")).isEqualTo(1);
		shutDown.replaced = true;
		this.fixture.replace(shutDown);
		this.fixture.advanceTime(1_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
	}

	/**
	 * Guards against two runs of a task whose VM is cut off from the store, then from us.
	 */
	@ParameterizedTest
	@CsvSource({ "0, false", "900, false", "2000, false", "0, true", "900, true", "2000, true" })
	void runsOfAVmThatIsNoLongerRegisteredAreNotStartedElsewhereBeforeItsLeaseLapses(long refusesAfterMs,
			boolean draining) {
		// given a registration that has lapsed although the VM answers
		FakeVm isolated = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 60_000));
		this.fixture.advanceTime(1_000);
		this.fixture.vm("vm2", "r1");
		this.fixture.advanceTime(500);
		if (draining) {
			isolated.remainingMs = 60_000;
			isolated.register();
			this.fixture.advanceTime(500);
		}
		this.fixture.scheduler.vmDeregistered("vm1");
		this.fixture.advanceTime(refusesAfterMs);
		// when
		isolated.unreachable = true;
		isolated.refusingConnections = true;
		this.fixture.advanceTime(8_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(1);
		this.fixture.advanceTime(10_000);
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
		assertThat(this.fixture.violations).isEmpty();
	}

	@Test
	void runsOfAnUnreachableVmThatRefusesConnectionsAreNotRestartedBeforeItsLeaseLapses() {
		// given
		FakeVm isolated = this.fixture.vm("vm1", "r1");
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 60_000));
		this.fixture.advanceTime(1_000);
		this.fixture.vm("vm2", "r1");
		// when its registration lapses after three heartbeats
		isolated.unreachable = true;
		isolated.refusingConnections = true;
		this.fixture.advanceTime(4_500);
		this.fixture.scheduler.vmDeregistered("vm1");
		this.fixture.advanceTime(3_500);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(1);
	}

	@Test
	void aGangThatLosesTheVmOfOneMemberIsRestartedCompletely() {
		// given
		FakeVm lost = this.fixture.vm("vm1", "r1");
		this.fixture.vm("vm2", "r1");
		Resources wholeVm = new Resources(52_000, 210_000, 8);
		this.fixture.submit("job", "normal", SchedulerFixture.gang(2, wholeVm, 6_000, false));
		this.fixture.advanceTime(1_000);
		this.fixture.vm("vm3", "r1");
		// when
		lost.unreachable = true;
		this.fixture.scheduler.vmDeregistered("vm1");
		this.fixture.vms.get("vm2").endAllAsBroken();
		this.fixture.advanceTime(25_000);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(4);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void aGangStartsAgainAfterAStopOfAMemberThatNeverStarted() {
		// given a VM that waits before it answers renewals, and misses the start of a
		// member
		this.fixture.vm("vm1", "r1");
		FakeVm cutOff = this.fixture.vm("vm2", "r1");
		cutOff.renewWaitMs = 1_500;
		this.fixture.advanceTime(2_000);
		cutOff.unreachable = true;
		this.fixture.submit("gang", "normal",
				SchedulerFixture.gang(2, new Resources(52_000, 210_000, 8), 1_000, false));
		this.fixture.advanceTime(2_500);
		// when it is back, and confirms the stop each time that it is repeated
		cutOff.unreachable = false;
		this.fixture.advanceTime(8_000);
		// then
		assertThat(this.fixture.phase("gang")).isEqualTo("COMPLETED");
	}

	@Test
	void nothingStartsAndNoLeaseIsExtendedWhileLeadershipIsInDoubt() {
		// given a running task, and one that waits
		this.fixture.vm("vm1", "r1");
		this.fixture.submit("running", "normal", SchedulerFixture.step(1, SchedulerFixture.SMALL, 60_000));
		this.fixture.advanceTime(500);
		this.fixture.submit("waiting", "normal", SchedulerFixture.step(1, SchedulerFixture.SMALL, 1_000));
		// when
		List<Effect> effects = new ArrayList<>();
		for (int round = 0; round < 10; round++) {
			this.fixture.now += 500;
			this.fixture.scheduler.advance(this.fixture.moment(), false);
			effects.addAll(this.fixture.scheduler.effects());
		}
		// then
		assertThat(effects).noneMatch((effect) -> effect instanceof Effect.Start);
		assertThat(effects).filteredOn((effect) -> effect instanceof Effect.Renew)
			.allMatch((effect) -> ((Effect.Renew) effect).leaseUntil() == 0);
	}

	@Test
	void aVmThatLeftIsNotUsedByANewCoordinator() {
		// given
		FakeVm left = this.fixture.vm("left", "r1");
		this.fixture.vm("staying", "r1");
		this.fixture.advanceTime(500);
		// when
		this.fixture.vms.remove(left.id);
		this.fixture.startNewCoordinator();
		this.fixture.submit("job", "normal", SchedulerFixture.step(20, SchedulerFixture.SMALL, 500));
		this.fixture.advanceTime(5_000);
		// then
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
		assertThat(this.fixture.effects)
			.noneMatch((effect) -> effect instanceof Effect.Start start && start.vm().id().equals("left"));
	}

	@Test
	void aTaskWithoutProgressIsMoved() {
		// given
		this.fixture.vm("vm1", "r1").hanging = true;
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 1_000));
		this.fixture.advanceTime(500);
		// when
		this.fixture.vm("vm2", "r1");
		this.fixture.advanceTime(8_000);
		// then
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

}
