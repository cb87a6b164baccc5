package org.citronrelay.internal.schedule;

import java.util.List;

import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.Step;
import org.citronrelay.internal.batch.TaskId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of VMs that crash, mostly because of a task that they have just started.
 */
class VmCrashTests {

	private static final Resources WHOLE_VM = new Resources(52_000, 210_000, 8);

	private static final TaskId CRASHING = new TaskId("crashing", 0, 0, 0);

	private final SchedulerFixture fixture = new SchedulerFixture();

	@BeforeEach
	void registerVms() {
		for (int number = 0; number < 6; number++) {
			this.fixture.vm("vm" + number, "r" + number / 3);
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 1_000, 6_000 })
	void aTaskThatCrashesEachVmThatStartsItIsGivenUp(long crashDelayMs) {
		// given
		this.fixture.crashDelayMs = crashDelayMs;
		this.fixture.submit("other", "bulk", SchedulerFixture.step(9, SchedulerFixture.SMALL, 8_000));
		this.fixture.advanceTime(500);
		// when
		submitCrashing(SchedulerFixture.step(1, SchedulerFixture.SMALL, 8_000));
		this.fixture.advanceTime(150_000);
		// then
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.phase("other")).isEqualTo("COMPLETED");
	}

	/**
	 * Guards against a task that is started without end because no crash counts: its VMs
	 * answer nothing after they were told to start it.
	 */
	@Test
	void aTaskThatCrashesItsVmsBeforeTheyAnswerItsStartIsGivenUp() {
		// given
		this.fixture.crashingTasksTakeTheAnswerAlong = true;
		this.fixture.vms.values().forEach((vm) -> vm.renewWaitMs = 1_000);
		// when
		submitCrashing(SchedulerFixture.step(1, SchedulerFixture.SMALL, 8_000));
		this.fixture.advanceTime(150_000);
		// then
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
		assertThat(this.fixture.violations).isEmpty();
	}

	/**
	 * Guards against a task that is started without end because the crash of a VM that
	 * has not answered its start does not count, on busy VMs and across take-overs.
	 */
	@ParameterizedTest
	@CsvSource({ "0, 0", "1000, 0", "0, 250", "1000, 250", "0, 1500", "1000, 4000" })
	void aTaskThatCrashesBusyVmsBeforeTheyAnswerItsStartIsGivenUp(long renewWaitMs, long termMs) {
		// given
		this.fixture.crashingTasksTakeTheAnswerAlong = true;
		this.fixture.vms.values().forEach((vm) -> vm.renewWaitMs = renewWaitMs);
		this.fixture.submit("other", "normal", SchedulerFixture.step(200, SchedulerFixture.SMALL, 3_000));
		this.fixture.advanceTime(500);
		// when
		submitCrashing(SchedulerFixture.step(1, SchedulerFixture.SMALL, 8_000));
		for (int term = 0; termMs > 0 && term < 100_000 / termMs; term++) {
			this.fixture.advanceTime(termMs);
			this.fixture.startNewCoordinator();
		}
		this.fixture.advanceTime(200_000);
		// then
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.phase("other")).isEqualTo("COMPLETED");
	}

	/**
	 * Guards against a task that is started without end because others start beside it
	 * before it crashes its VM.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1_000, 4_000, 6_000, 8_000, 20_000 })
	void aLongRunningTaskThatCrashesItsVmsIsGivenUpBesideOthersThatWait(long crashDelayMs) {
		// given
		this.fixture.crashDelayMs = crashDelayMs;
		submitCrashing(new Step(1, SchedulerFixture.SMALL, 1_000, List.of(), new Step.Shape(false, false, false, true),
				Step.Limits.NONE, false));
		this.fixture.advanceTime(500);
		// when
		this.fixture.submit("others", "bulk", SchedulerFixture.step(3_000, SchedulerFixture.SMALL, 3_000));
		this.fixture.advanceTime(300_000);
		// then
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
		assertThat(this.fixture.violations).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void runsThatWereLostInACrashStartAgainOnceAnotherInstanceRunsThere(boolean sameId) {
		// given
		this.fixture.crashedVmsKeepTheirIds = sameId;
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 20_000));
		this.fixture.advanceTime(3_000);
		// when
		vmOf("job").crash();
		this.fixture.advanceTime(SchedulerFixture.VM_RESTART_MS + 500);
		// then
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
		assertThat(this.fixture.violations).isEmpty();
	}

	@Test
	void tasksThatRanBesideACrashingOneAreSpreadAndCompleteWhileItIsGivenUp() {
		// given
		submitCrashing(SchedulerFixture.step(1, SchedulerFixture.SMALL, 3_000));
		this.fixture.submit("innocent", "normal", SchedulerFixture.step(6, SchedulerFixture.SMALL, 3_000));
		// when
		this.fixture.advanceTime(60_000);
		// then
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
		assertThat(this.fixture.phase("innocent")).isEqualTo("COMPLETED");
		assertThat(this.fixture.startsOf("innocent")).as("each is lost once, with the crash that they shared")
			.isEqualTo(12);
	}

	@Test
	void aTaskOnVmsThatCrashForOtherReasonsIsNotGivenUp() {
		// given
		this.fixture.submit("innocent", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 4_000));
		this.fixture.advanceTime(3_000);
		// when
		vmOf("innocent").crash();
		this.fixture.advanceTime(SchedulerFixture.VM_RESTART_MS + 3_000);
		submitCrashing(SchedulerFixture.step(1, SchedulerFixture.SMALL, 3_000));
		this.fixture.advanceTime(60_000);
		// then
		assertThat(this.fixture.phase("innocent")).isEqualTo("COMPLETED");
	}

	@ParameterizedTest
	@ValueSource(longs = { 150, 1_000, 3_500, 7_000, 12_000 })
	void theCrashesUnderATaskAreRememberedByTheNextCoordinator(long termMs) {
		// given
		submitCrashing(SchedulerFixture.step(1, SchedulerFixture.SMALL, 3_000));
		// when
		for (int term = 0; term < 250_000 / termMs; term++) {
			this.fixture.advanceTime(termMs);
			this.fixture.startNewCoordinator();
		}
		this.fixture.advanceTime(60_000);
		// then
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
	}

	@Test
	void aTaskStartsNotAgainBeforeTheCrashUnderItIsStored() {
		// given
		submitCrashing(SchedulerFixture.step(1, SchedulerFixture.SMALL, 3_000));
		this.fixture.advanceTime(150);
		// when
		this.fixture.refuseWrites = true;
		this.fixture.advanceTime(20_000);
		// then
		assertThat(this.fixture.startsOf("crashing")).isEqualTo(1);
		this.fixture.refuseWrites = false;
		this.fixture.advanceTime(60_000);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
	}

	@Test
	void aStartThatTakesEffectLateAndCrashesItsVmCounts() {
		// given
		this.fixture.vms.values().forEach((vm) -> vm.startDelayMs = 5_000);
		// when
		submitCrashing(SchedulerFixture.step(1, SchedulerFixture.SMALL, 3_000));
		this.fixture.advanceTime(200_000);
		// then
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
	}

	@Test
	void aGangIsGivenUpBecauseOfOneMemberThatCrashesItsVms() {
		// given
		this.fixture.submit("other", "bulk", SchedulerFixture.step(2, SchedulerFixture.SMALL, 20_000));
		// when
		submitCrashing(SchedulerFixture.gang(3, WHOLE_VM, 3_000, false));
		this.fixture.advanceTime(120_000);
		// then
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.phase("other")).isEqualTo("COMPLETED");
	}

	/**
	 * Guards against a long-running task that is given up because its VMs lose power now
	 * and then.
	 */
	@Test
	void crashesLongAfterTheStartOfARunAreNotRecordedForIt() {
		// given
		this.fixture.submit("job", "bulk", new Step(1, SchedulerFixture.SMALL, 1_000, List.of(),
				new Step.Shape(false, false, false, true), Step.Limits.NONE, false));
		for (int loss = 0; loss < 6; loss++) {
			this.fixture.advanceTime(602_000);
			// when
			vmOf("job").crash();
			this.fixture.advanceTime(SchedulerFixture.VM_RESTART_MS + 500);
		}
		// then
		assertThat(this.fixture.phase("job")).isEqualTo("RUNNING");
		assertThat(this.fixture.startsOf("job")).isEqualTo(7);
	}

	/**
	 * Guards against a crash that does not count, as one under an earlier run of the task
	 * became known after the task was placed again.
	 */
	@Test
	void aCrashUnderALapsedRunDoesNotHideTheNextOne() {
		// given a run that counts as ended with the lease of its VM, and the next one
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 60_000));
		this.fixture.advanceTime(500);
		FakeVm first = vmOf("job");
		first.unreachable = true;
		this.fixture.vms.values().forEach((vm) -> vm.startDelayMs = 6_000);
		this.fixture.advanceTime(12_000);
		assertThat(this.fixture.startsOf("job")).isGreaterThan(1);
		// when
		first.crash();
		this.fixture.advanceTime(SchedulerFixture.VM_RESTART_MS + 500);
		this.fixture.vms.values().stream().filter((vm) -> !vm.unreachable).toList().forEach(FakeVm::crash);
		this.fixture.advanceTime(SchedulerFixture.VM_RESTART_MS + 500);
		// then
		assertThat(this.fixture.effects.stream()
			.filter((effect) -> effect instanceof Effect.VmCrashed crashed && crashed.reason().contains("job/0/0/0")))
			.hasSize(2);
	}

	/** Guards against one run that counts for two crashes. */
	@Test
	void aSecondCrashWhileTheRunIsRuledOutThereDoesNotCountAgain() {
		// given a start that is not answered, on a VM that crashes
		this.fixture.crashedVmsKeepTheirIds = true;
		this.fixture.advanceTime(500);
		this.fixture.vms.values().forEach((vm) -> vm.startDelayMs = 4_000);
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 3_000));
		this.fixture.advanceTime(500);
		FakeVm vm = this.fixture.vms.get(this.fixture.effects.stream()
			.filter((effect) -> effect instanceof Effect.Start)
			.map((effect) -> ((Effect.Start) effect).vm().id())
			.findFirst()
			.orElseThrow());
		vm.losingStopAnswers = true;
		vm.reboot();
		vm.register();
		this.fixture.advanceTime(200);
		// when
		vm.reboot();
		vm.register();
		this.fixture.advanceTime(200);
		// then
		assertThat(this.fixture.effects)
			.noneMatch((effect) -> effect instanceof Effect.VmCrashed crashed && crashed.reason().contains("crash 2"));
	}

	/**
	 * Guards against work that waits for ever beside an idle VM, which is kept free for a
	 * suspected gang that does not fit.
	 */
	@Test
	void aVmIsKeptFreeForASuspectedGangForSomeSecondsOnly() {
		// given two VMs that a gang has crashed, of which one has shrunk
		List<FakeVm> spare = List.copyOf(this.fixture.vms.values()).subList(2, 6);
		spare.forEach((vm) -> vm.resize(Resources.NONE));
		this.fixture.crashedVmsKeepTheirIds = true;
		submitCrashing(SchedulerFixture.gang(2, WHOLE_VM, 60_000, false));
		while (this.fixture.crashesUnder.getOrDefault(CRASHING, 0) < 2) {
			this.fixture.advanceTime(SchedulerFixture.STEP_MS);
		}
		this.fixture.vms.get("vm1").resize(Resources.NONE);
		// when
		this.fixture.submit("other", "bulk", SchedulerFixture.step(2, SchedulerFixture.SMALL, 1_000));
		this.fixture.advanceTime(60_000);
		// then
		assertThat(this.fixture.phase("other")).isEqualTo("COMPLETED");
		assertThat(this.fixture.phase("crashing")).as("still waits").isEqualTo("RUNNING");
	}

	@Test
	void aVmThatDoesNotAnswerGetsNoNewTasks() {
		// given
		this.fixture.submit("first", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 20_000));
		this.fixture.advanceTime(1_000);
		// when
		FakeVm crashed = vmOf("first");
		crashed.crash();
		this.fixture.advanceTime(1_000);
		this.fixture.submit("second", "bulk", SchedulerFixture.step(6, SchedulerFixture.SMALL, 1_000));
		this.fixture.advanceTime(2_000);
		// then
		assertThat(this.fixture.phase("second")).isEqualTo("COMPLETED");
	}

	@Test
	void aStartThatNeverReachedItsVmDoesNotCountAsACrashRightAfterTheStart() {
		// given
		this.fixture.submit("other", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 60_000));
		this.fixture.advanceTime(300);
		FakeVm vm = vmOf("other");
		// when
		vm.unreachable = true;
		submitCrashing(SchedulerFixture.step(1, SchedulerFixture.SMALL, 3_000));
		this.fixture.decide();
		vm.crash();
		this.fixture.advanceTime(2 * SchedulerFixture.VM_RESTART_MS + 1_000);
		// then
		assertThat(this.fixture.crashesUnder).containsEntry(CRASHING, 3);
		this.fixture.advanceTime(60_000);
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
	}

	/** Guards against a job that fails because of VMs that were down before it came. */
	@ParameterizedTest
	@CsvSource({ "2, 2000, 2400, 0", "2, 2000, 2400, 700", "6, 600, 500, 0", "6, 600, 500, 700", "6, 2000, 700, 3000" })
	void aTaskPlacedOnVmsThatHadLostPowerIsNotGivenUp(int down, long firstSilentMs, long intervalMs,
			long registersAfterMs) {
		// given
		this.fixture.advanceTime(500);
		List<FakeVm> vms = List.copyOf(this.fixture.vms.values());
		vms.subList(0, down).forEach(FakeVm::losePower);
		// when
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 3_000));
		this.fixture.advanceTime(firstSilentMs);
		for (FakeVm vm : vms.subList(0, down)) {
			vm.restart();
			this.fixture.advanceTime(Math.min(registersAfterMs, intervalMs));
			vm.register();
			this.fixture.advanceTime(intervalMs - Math.min(registersAfterMs, intervalMs));
		}
		this.fixture.advanceTime(20_000);
		// then
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
		assertThat(this.fixture.effects)
			.noneMatch((effect) -> effect instanceof Effect.VmCrashed crashed && crashed.reason().contains("under it"));
		assertThat(this.fixture.violations).isEmpty();
	}

	/** Guards against an age of zero for a run that began on a later instance. */
	@Test
	void aRunThatBeganAfterItsVmHadFallenSilentIsNotOneThatCrashedAtItsStart() {
		// given
		SuspectRun run = new SuspectRun(null, 1, 1, 5_000, false, false);
		// when
		long age = run.ageAt(4_000);
		// then
		assertThat(age).isEqualTo(SuspectRun.UNKNOWN);
	}

	@Test
	void aLongRunningTaskThatCrashesItsVmsIsGivenUp() {
		// when
		submitCrashing(new Step(1, SchedulerFixture.SMALL, 3_000, List.of(), new Step.Shape(false, false, false, true),
				Step.Limits.NONE, false));
		this.fixture.advanceTime(60_000);
		// then
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
		assertThat(this.fixture.violations).isEmpty();
	}

	@Test
	void noStepStartsAfterOneWhoseTaskWasGivenUp() {
		// given
		Step next = new Step(2, SchedulerFixture.SMALL, 500, List.of(0), Step.Shape.INDEPENDENT, Step.Limits.NONE,
				false);
		// when
		this.fixture.crashingTasks.add(CRASHING);
		this.fixture.submit(CRASHING.job(), "normal", SchedulerFixture.step(2, SchedulerFixture.SMALL, 3_000), next);
		this.fixture.advanceTime(60_000);
		// then
		assertThat(this.fixture.phase("crashing")).isEqualTo("FAILED");
		assertThat(this.fixture.effects)
			.noneMatch((effect) -> effect instanceof Effect.Start start && start.task().step() == 1);
	}

	@Test
	void aJobThatIsCancelledWhileItsVmIsDownStaysCancelled() {
		// given
		submitCrashing(SchedulerFixture.step(1, SchedulerFixture.SMALL, 3_000));
		this.fixture.advanceTime(4_000);
		// when
		this.fixture.scheduler.cancelRequested("crashing", 0, this.fixture.moment());
		this.fixture.advanceTime(60_000);
		// then
		assertThat(this.fixture.phase("crashing")).isEqualTo("CANCELLED");
		assertThat(this.fixture.startsOf("crashing")).isLessThanOrEqualTo(2);
	}

	/**
	 * Guards against a job that is given up too early, as each crash counted twice after
	 * a coordinator had read the progress again.
	 */
	@Test
	void progressThatIsReadTwiceHasEachCrashOnce() {
		// given a job under which a VM has crashed
		BatchJob spec = this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 20_000));
		this.fixture.advanceTime(3_000);
		vmOf("job").crash();
		this.fixture.advanceTime(SchedulerFixture.VM_RESTART_MS + 500);
		// when
		JobState job = new JobState(spec);
		ProgressCodec.decode(this.fixture.progress.get("job"), job);
		ProgressCodec.decode(this.fixture.progress.get("job"), job);
		// then
		assertThat(job.step(0, 0).tasks.getFirst().crashes).hasSize(1);
	}

	@Test
	void silenceAndAnnouncedShutdownsAreNoCrashes() {
		// given
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 60_000));
		for (int loss = 0; loss < 8; loss++) {
			this.fixture.advanceTime(200);
			FakeVm vm = vmOf("job");
			// when
			if (loss % 2 == 0) {
				vm.remainingMs = 100;
				this.fixture.scheduler.vmRegistered(vm.registration(), this.fixture.moment());
				this.fixture.advanceTime(100);
				vm.crash();
				this.fixture.advanceTime(SchedulerFixture.VM_RESTART_MS + 500);
			}
			else {
				vm.unreachable = true;
				this.fixture.advanceTime(12_000);
				vm.unreachable = false;
			}
		}
		this.fixture.advanceTime(80_000);
		// then
		assertThat(this.fixture.effects).noneMatch((effect) -> effect instanceof Effect.VmCrashed);
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	@Test
	void aCrashThatBecomesKnownAfterTheLeaseHasLapsedCounts() {
		// given
		this.fixture.submit("job", "bulk", SchedulerFixture.step(1, SchedulerFixture.SMALL, 60_000));
		this.fixture.advanceTime(500);
		FakeVm vm = vmOf("job");
		// when
		vm.unreachable = true;
		this.fixture.advanceTime(12_000);
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
		vm.crash();
		this.fixture.advanceTime(SchedulerFixture.VM_RESTART_MS + 500);
		// then
		assertThat(this.fixture.effects).anyMatch((effect) -> effect instanceof Effect.VmCrashed crashed
				&& crashed.reason().contains("job/0/0/0") && crashed.reason().contains("crash 1 under it"));
		assertThat(this.fixture.startsOf("job")).isEqualTo(2);
	}

	@Test
	void aGuardedTaskGetsAVmOfItsOwnWhileItsNeighboursWait() {
		// given
		submitCrashing(SchedulerFixture.step(1, SchedulerFixture.SMALL, 3_000));
		this.fixture.advanceTime(SchedulerFixture.VM_RESTART_MS + 450);
		assertThat(this.fixture.startsOf("crashing")).isEqualTo(2);
		// when
		this.fixture.submit("other", "bulk", SchedulerFixture.step(40, SchedulerFixture.SMALL, 3_000));
		this.fixture.advanceTime(20_000);
		// then
		assertThat(this.fixture.startsOf("other")).as("none is lost with the VM of the suspect").isEqualTo(40);
		assertThat(this.fixture.phase("other")).isEqualTo("COMPLETED");
	}

	private void submitCrashing(Step step) {
		this.fixture.crashingTasks.add(CRASHING);
		this.fixture.submit(CRASHING.job(), "normal", step);
	}

	private FakeVm vmOf(String job) {
		return this.fixture.vms.values()
			.stream()
			.filter((vm) -> vm.running.keySet().stream().anyMatch((task) -> task.job().equals(job)))
			.findFirst()
			.orElseThrow();
	}

}
