package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.Step;
import org.citronrelay.internal.batch.TaskId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Random work and faults in virtual time, reproducible by seed. Once nothing has happened
 * for some seconds, no long-running task waits while there is room for it.
 */
class LongRunningFaultTests {

	private static final int ROUNDS = 25;

	/** How long nothing fails before the check, in milliseconds. */
	private static final long CALM_MS = 12_000;

	private static final Resources[] SIZES = { new Resources(2_000, 1_024, 1), new Resources(2_000, 1_024, 0),
			new Resources(40_000, 100_000, 2), new Resources(15_000, 200_000, 1), new Resources(2_000, 1_024, 7),
			new Resources(100_000, 400_000, 8) };

	private static final Resources HALF_VM = new Resources(64_000, 256_000, 4);

	static LongStream seeds() {
		if (Long.getLong("seeds.from") != null) {
			return LongStream.rangeClosed(Long.getLong("seeds.from"), Long.getLong("seeds.to"));
		}
		return LongStream.rangeClosed(1, 200);
	}

	// Guards against any wait of a long-running task for something that never comes.
	@ParameterizedTest
	@MethodSource("seeds")
	void noLongRunningTaskWaitsWhileThereIsRoomForIt(long seed) {
		// given
		Random random = new Random(seed);
		SchedulerFixture fixture = new SchedulerFixture();
		int vms = 2 + random.nextInt(8);
		for (int number = 0; number < vms; number++) {
			FakeVm vm = fixture.vm("vm" + number, "r" + number / 3);
			if (random.nextInt(4) == 0) {
				vm.resize(HALF_VM);
			}
		}
		fixture.crashedVmsKeepTheirIds = random.nextBoolean();
		for (int job = 0; job < 1 + random.nextInt(5); job++) {
			submitLongRunning(fixture, random, "lasting" + job);
		}
		List<String> waits = new ArrayList<>();
		// when
		for (int round = 0; round < ROUNDS; round++) {
			fixture.advanceTime(200 + random.nextInt(8_000));
			injectFault(fixture, random, round);
			if (random.nextInt(4) == 0) {
				clearFaults(fixture);
				fixture.advanceTime(CALM_MS);
				waits.addAll(waitsWithRoom(fixture));
				waits.addAll(jobsWithoutRuns(fixture));
			}
		}
		clearFaults(fixture);
		fixture.advanceTime(CALM_MS);
		waits.addAll(waitsWithRoom(fixture));
		waits.addAll(jobsWithoutRuns(fixture));
		// then
		assertThat(waits).isEmpty();
		assertThat(fixture.violations).isEmpty();
	}

	private static void submitLongRunning(SchedulerFixture fixture, Random random, String job) {
		boolean gang = random.nextInt(4) == 0;
		Step.Limits limits = new Step.Limits("", (random.nextInt(4) == 0) ? "r" + random.nextInt(2) : "",
				random.nextInt(3));
		int count = 1 + random.nextInt(gang ? 3 : 8);
		fixture.submit(job, queue(random), new Step(count, SIZES[random.nextInt(SIZES.length)], 1_000, List.of(),
				new Step.Shape(gang, random.nextBoolean(), false, true), limits, false));
	}

	private static void submitFinite(SchedulerFixture fixture, Random random, String job) {
		Resources size = SIZES[random.nextInt(SIZES.length)];
		long estimateMs = 500 + random.nextInt(random.nextBoolean() ? 60_000 : 5_000);
		fixture.submit(job, queue(random),
				(random.nextInt(3) == 0)
						? SchedulerFixture.gang(1 + random.nextInt(4), size, estimateMs, random.nextBoolean())
						: SchedulerFixture.step(1 + random.nextInt(20), size, estimateMs));
	}

	private static String queue(Random random) {
		return List.of("urgent", "normal", "bulk").get(random.nextInt(3));
	}

	private static void injectFault(SchedulerFixture fixture, Random random, int round) {
		List<FakeVm> vms = fixture.vms.values().stream().filter((vm) -> !vm.replaced).toList();
		FakeVm vm = vms.get(random.nextInt(vms.size()));
		switch (random.nextInt(12)) {
			case 0, 1, 2 -> failOne(vm, random);
			case 3 -> List.copyOf(vm.running.keySet()).forEach((task) -> failIfRunning(vm, task));
			case 4 -> vm.crash();
			case 5 -> vm.unreachable = true;
			case 6 -> vm.failing = true;
			case 7 -> fixture.startNewCoordinator();
			case 8 -> vm.resize(random.nextBoolean() ? HALF_VM : SchedulerFixture.CAPACITY);
			case 9 -> fixture.refuseWrites = true;
			case 10 -> vm.startDelayMs = 200 + random.nextInt(30_000);
			default -> submitFinite(fixture, random, "finite" + round);
		}
	}

	private static void failOne(FakeVm vm, Random random) {
		List<TaskId> tasks = List.copyOf(vm.running.keySet());
		if (!tasks.isEmpty()) {
			vm.fail(tasks.get(random.nextInt(tasks.size())));
		}
	}

	private static void failIfRunning(FakeVm vm, TaskId task) {
		if (vm.running.containsKey(task)) {
			vm.fail(task);
		}
	}

	private static void clearFaults(SchedulerFixture fixture) {
		fixture.refuseWrites = false;
		for (FakeVm vm : fixture.vms.values()) {
			vm.failing = false;
			vm.startDelayMs = 0;
			if (!vm.refusingConnections) {
				vm.unreachable = false;
			}
		}
	}

	/**
	 * Returns the long-running tasks without a run for which there is room twice over, a
	 * gang as a whole.
	 */
	private static List<String> waitsWithRoom(SchedulerFixture fixture) {
		List<String> waits = new ArrayList<>();
		fixture.jobs.forEach((id, job) -> {
			Step step = job.steps().getFirst();
			if (!step.shape().longRunning() || fixture.phase(id).equals("FAILED")) {
				return;
			}
			long room = fixture.vms.values().stream().mapToLong((vm) -> room(vm, id, step)).sum();
			for (int index = 0; index < step.count(); index++) {
				TaskId task = new TaskId(id, 0, 0, index);
				boolean runs = fixture.vms.values().stream().anyMatch((vm) -> vm.running.containsKey(task));
				if (!runs && room >= 2L * (step.gang() ? step.count() : 1)) {
					waits.add(fixture.now + ": " + task + " waits with room for " + room + ": " + step);
				}
			}
		});
		return waits;
	}

	/**
	 * Returns the jobs with an end that run nothing, with room for them twice over, while
	 * less than half of the pool is in use.
	 */
	private static List<String> jobsWithoutRuns(SchedulerFixture fixture) {
		Resources capacity = Resources.NONE;
		Resources free = Resources.NONE;
		for (FakeVm vm : fixture.vms.values()) {
			if (!vm.unreachable && !vm.replaced) {
				capacity = capacity.plus(vm.capacity);
				free = free.plus(vm.free());
			}
		}
		if (capacity.minus(free).dominantShare(capacity) >= 0.5) {
			return List.of();
		}
		List<String> waits = new ArrayList<>();
		fixture.jobs.forEach((id, job) -> {
			Step step = job.steps().getFirst();
			boolean runs = fixture.vms.values()
				.stream()
				.anyMatch((vm) -> vm.running.keySet().stream().anyMatch((task) -> task.job().equals(id)));
			long room = fixture.vms.values().stream().mapToLong((vm) -> room(vm, id, step)).sum();
			if (!step.shape().longRunning() && !runs && List.of("QUEUED", "RUNNING").contains(fixture.phase(id))
					&& room >= 2L * (step.gang() ? step.count() : 1)) {
				waits.add(fixture.now + ": job " + id + " waits with room for " + room + ": " + step);
			}
		});
		return waits;
	}

	private static long room(FakeVm vm, String job, Step step) {
		if (vm.unreachable || vm.replaced) {
			return 0;
		}
		long present = vm.running.keySet().stream().filter((task) -> task.job().equals(job)).count();
		int limit = step.limits().maxPerVm();
		long room = 0;
		Resources free = vm.free();
		while (step.taskResources().fits(free) && (limit == 0 || present + room < limit) && room < 100) {
			room++;
			free = free.minus(step.taskResources());
		}
		return room;
	}

}
