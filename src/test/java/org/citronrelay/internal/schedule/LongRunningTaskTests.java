package org.citronrelay.internal.schedule;

import java.util.List;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.Step;
import org.citronrelay.internal.batch.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ClusterScheduler} with tasks that run until their job is cancelled, in
 * virtual time.
 */
class LongRunningTaskTests {

	private static final Resources ONE_ACCELERATOR = new Resources(2_000, 1_024, 1);

	private static final Resources TWO_ACCELERATORS = new Resources(2_000, 1_024, 2);

	private static final Resources SEVEN_ACCELERATORS = new Resources(2_000, 1_024, 7);

	private static final Resources WHOLE_VM = new Resources(100_000, 400_000, 8);

	/** Longer than any job may take to meet its objective. */
	private static final long LONG_MS = 60_000;

	/** How long a task may have no run while there is room for it, in milliseconds. */
	private static final long RESTART_MS = 6_000;

	private final SchedulerFixture fixture = new SchedulerFixture();

	/**
	 * Guards against a task that waits for ever because most of the pool is in use.
	 */
	@ParameterizedTest
	@CsvSource({ "4, 6", "4, 7", "2, 6", "1, 6", "6, 7" })
	void aTaskThatFailsIsStartedAgainHoweverMuchOfThePoolIsInUse(int vms, int othersPerVm) {
		// given
		registerVms(vms, "r1");
		this.fixture.submit("others", "normal",
				longRunning(vms * othersPerVm, ONE_ACCELERATOR, new Step.Limits("", "", othersPerVm)));
		this.fixture.submit("job", "normal", longRunning(1, ONE_ACCELERATOR, Step.Limits.NONE));
		this.fixture.advanceTime(LONG_MS);
		// when
		fail(task("job", 0));
		this.fixture.advanceTime(RESTART_MS);
		// then
		assertThat(running(task("job", 0))).isTrue();
	}

	/**
	 * Guards against a task that avoids the only VM with room for it, as it has failed
	 * there, while long-running tasks fill all others.
	 */
	@ParameterizedTest
	@CsvSource({ "4, 24", "2, 8", "3, 17" })
	void aTaskThatFailsReturnsToTheOnlyVmWithRoom(int vms, int others) {
		// given
		registerVms(vms, "r1");
		this.fixture.submit("others", "normal", longRunning(others, ONE_ACCELERATOR, Step.Limits.NONE));
		this.fixture.submit("job", "normal", longRunning(1, ONE_ACCELERATOR, Step.Limits.NONE));
		this.fixture.advanceTime(LONG_MS);
		// when
		fail(task("job", 0));
		this.fixture.advanceTime(RESTART_MS);
		// then
		assertThat(running(task("job", 0))).isTrue();
	}

	/**
	 * Guards against a task that avoids all VMs that have no other task of its step.
	 */
	@ParameterizedTest
	@CsvSource({ "5, 4, 2", "3, 2, 2", "4, 2, 3", "6, 5, 5" })
	void aTaskOfAStepThatIsSpreadOverVmsReturnsToOneOnWhichItFailed(int vms, int count, int failures) {
		// given
		registerVms(vms, "r1");
		this.fixture.submit("job", "normal", longRunning(count, ONE_ACCELERATOR, new Step.Limits("", "", 1)));
		this.fixture.advanceTime(1_000);
		// when
		for (int failure = 0; failure < failures; failure++) {
			fail(task("job", 0));
			this.fixture.advanceTime(RESTART_MS);
		}
		// then
		assertThat(running(task("job", 0))).isTrue();
	}

	/**
	 * Guards against a task that waits for VMs that other work keeps full.
	 */
	@Test
	void aTaskThatFailsReturnsToItsVmWhenOtherWorkKeepsTheOthersFull() {
		// given
		registerVms(2, "r1");
		this.fixture.submit("busy", "normal", SchedulerFixture.step(8, ONE_ACCELERATOR, LONG_MS));
		this.fixture.advanceTime(200);
		this.fixture.submit("job", "normal", longRunning(1, ONE_ACCELERATOR, Step.Limits.NONE));
		this.fixture.advanceTime(1_000);
		// when
		fail(task("job", 0));
		this.fixture.advanceTime(RESTART_MS);
		// then
		assertThat(running(task("job", 0))).isTrue();
	}

	/**
	 * Guards against jobs that never start because long-running tasks hold most of the
	 * pool.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 24, 29 })
	void anExpiredJobStartsBesideLongRunningTasksThatHoldMostOfThePool(int others) {
		// given a job that expires while there are no VMs
		this.fixture.submit("job", "normal", SchedulerFixture.step(1, SchedulerFixture.SMALL, 1_000));
		this.fixture.submit("others", "urgent", longRunning(others, ONE_ACCELERATOR, Step.Limits.NONE));
		this.fixture.advanceTime(LONG_MS);
		// when
		registerVms(4, "r1");
		this.fixture.advanceTime(5_000);
		// then
		assertThat(this.fixture.phase("job")).isEqualTo("COMPLETED");
	}

	/**
	 * Guards against a task that waits for ever for the rack with its data.
	 */
	@Test
	void aTaskStartsOutsideTheRackWithItsDataIfThatIsFull() {
		// given
		registerVms(1, "r1");
		registerVms(1, "r2");
		this.fixture.submit("full", "normal", longRunning(8, ONE_ACCELERATOR, new Step.Limits("", "r1", 0)));
		this.fixture.submit("others", "normal", longRunning(4, ONE_ACCELERATOR, new Step.Limits("", "r2", 0)));
		this.fixture.advanceTime(LONG_MS);
		// when
		this.fixture.submit("job", "normal", longRunning(1, ONE_ACCELERATOR, new Step.Limits("", "r1", 0)));
		this.fixture.advanceTime(RESTART_MS);
		// then
		assertThat(running(task("job", 0))).isTrue();
	}

	/**
	 * Guards against a gang that waits for ever for a rack of its own.
	 */
	@Test
	void aGangIsSpreadOverRacksThatOtherLongRunningTasksShare() {
		// given two racks with one VM in use each
		registerVms(2, "r1");
		registerVms(2, "r2");
		this.fixture.submit("first", "normal", longRunning(1, WHOLE_VM, new Step.Limits("", "r1", 0)));
		this.fixture.submit("second", "normal", longRunning(1, WHOLE_VM, new Step.Limits("", "r2", 0)));
		this.fixture.advanceTime(1_000);
		// when
		this.fixture.submit("gang", "normal", new Step(2, WHOLE_VM, 1_000, List.of(),
				new Step.Shape(true, true, false, true), Step.Limits.NONE, false));
		this.fixture.advanceTime(RESTART_MS);
		// then
		assertThat(running(task("gang", 0))).isTrue();
		assertThat(running(task("gang", 1))).isTrue();
	}

	/**
	 * Guards against a task that waits while its own capacity is reserved for others.
	 */
	@Test
	void aTaskThatFailsIsStartedAgainOnCapacityThatIsReservedForAGang() {
		// given a gang that waits for a run to end
		registerVms(2, "r1");
		this.fixture.submit("busy", "bulk", SchedulerFixture.step(1, SEVEN_ACCELERATORS, LONG_MS));
		this.fixture.advanceTime(200);
		this.fixture.submit("job", "bulk", longRunning(1, TWO_ACCELERATORS, Step.Limits.NONE));
		this.fixture.advanceTime(1_000);
		this.fixture.submit("gang", "normal", SchedulerFixture.gang(2, SEVEN_ACCELERATORS, LONG_MS, true));
		this.fixture.advanceTime(1_000);
		// when
		fail(task("job", 0));
		this.fixture.advanceTime(RESTART_MS);
		// then
		assertThat(running(task("job", 0))).isTrue();
	}

	/**
	 * Guards against tasks that wait while VMs are kept for others that may crash them.
	 */
	@ParameterizedTest
	@CsvSource({ "3, 6, 2", "3, 6, 3", "4, 20, 2" })
	void tasksThatLostTheirVmsInCrashesAreStartedAgain(int vms, int count, int crashes) {
		// given tasks that have run for long
		registerVms(vms, "r1");
		this.fixture.submit("job", "normal", longRunning(count, ONE_ACCELERATOR, Step.Limits.NONE));
		// when VMs crash under them from time to time
		for (int crash = 0; crash < crashes; crash++) {
			this.fixture.advanceTime(LONG_MS);
			vmOf(task("job", 0)).crash();
		}
		this.fixture.advanceTime(SchedulerFixture.VM_RESTART_MS + 3_000 + RESTART_MS);
		// then
		for (int index = 0; index < count; index++) {
			assertThat(running(task("job", index))).as("task " + index).isTrue();
		}
	}

	/**
	 * Guards against a task that waits while its own capacity is reserved for others,
	 * because it may have crashed a VM earlier.
	 */
	@Test
	void aTaskThatLostAVmInACrashIsStartedAgainOnCapacityThatIsReservedForAGang() {
		// given a task whose VM has crashed once, and a gang that waits for a run to end
		registerVms(2, "r1");
		this.fixture.submit("busy", "bulk", SchedulerFixture.step(1, SEVEN_ACCELERATORS, 2 * LONG_MS));
		this.fixture.advanceTime(200);
		this.fixture.submit("job", "bulk", longRunning(1, TWO_ACCELERATORS, Step.Limits.NONE));
		this.fixture.advanceTime(10_000);
		vmOf(task("job", 0)).crash();
		this.fixture.advanceTime(2 * RESTART_MS);
		assertThat(running(task("job", 0))).isTrue();
		this.fixture.submit("gang", "normal", SchedulerFixture.gang(2, SEVEN_ACCELERATORS, LONG_MS, true));
		this.fixture.advanceTime(1_000);
		// when
		fail(task("job", 0));
		this.fixture.advanceTime(RESTART_MS);
		// then
		assertThat(running(task("job", 0))).isTrue();
	}

	/**
	 * Guards against VMs that take no other work for as long as a task had run on VMs
	 * that crashed under it.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void aTaskStartsBesideOthersThatMayHaveCrashedVmsAfterALongTime(boolean longRunning) {
		// given two tasks under each of which VMs have crashed twice
		registerVms(2, "r1");
		this.fixture.submit("suspects", "normal", longRunning(2, ONE_ACCELERATOR, new Step.Limits("", "", 1)));
		for (int crash = 0; crash < 2; crash++) {
			this.fixture.advanceTime(2 * LONG_MS);
			List.of(vmOf(task("suspects", 0)), vmOf(task("suspects", 1))).forEach(FakeVm::crash);
		}
		this.fixture.advanceTime(2 * RESTART_MS);
		assertThat(running(task("suspects", 0))).isTrue();
		// when
		this.fixture.submit("job", "normal", longRunning ? longRunning(1, ONE_ACCELERATOR, Step.Limits.NONE)
				: SchedulerFixture.step(1, ONE_ACCELERATOR, LONG_MS));
		this.fixture.advanceTime(RESTART_MS);
		// then
		assertThat(running(task("job", 0))).isTrue();
	}

	private void registerVms(int count, String rack) {
		for (int number = 0; number < count; number++) {
			this.fixture.vm(rack + "-vm" + number, rack);
		}
		this.fixture.advanceTime(200);
	}

	private static Step longRunning(int count, Resources needs, Step.Limits limits) {
		return new Step(count, needs, 1_000, List.of(), new Step.Shape(false, false, false, true), limits, false);
	}

	private static TaskId task(String job, int index) {
		return new TaskId(job, 0, 0, index);
	}

	private FakeVm vmOf(TaskId task) {
		return this.fixture.vms.values()
			.stream()
			.filter((vm) -> vm.running.containsKey(task))
			.findFirst()
			.orElseThrow();
	}

	private boolean running(TaskId task) {
		return this.fixture.vms.values().stream().anyMatch((vm) -> vm.running.containsKey(task));
	}

	private void fail(TaskId task) {
		vmOf(task).fail(task);
	}

}
