package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.Step;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Seeded days with faults in virtual time: whatever fails, no task runs twice at a time,
 * no VM is filled beyond its capacity, nothing starts after its end was acknowledged, and
 * every job ends once the faults are over.
 */
class JobBookFaultTests {

	private static final int VMS = 6;

	private static final int ROUNDS = 120;

	private static final long ROUND_MS = 400;

	/** How long after it was heard the entry of a silent VM lapses at the soonest. */
	private static final long ENTRY_LAPSES_MS = 3_000;

	/** Long enough for all leases to lapse and all work to be done again. */
	private static final long QUIET_MS = 400_000;

	/**
	 * Seeds that were red once: gang ends acknowledged before the gang's end was stored.
	 */
	private static final long[] ONCE_RED = { 1298, 1671, 1709, 1742 };

	static LongStream seeds() {
		if (Long.getLong("seeds.from") != null) {
			return LongStream.rangeClosed(Long.getLong("seeds.from"), Long.getLong("seeds.to"));
		}
		return LongStream.concat(LongStream.rangeClosed(1, 200), LongStream.of(ONCE_RED));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void noFaultMakesATaskRunTwiceOrAVmOverfull(long seed) {
		// given
		Random random = new Random(seed);
		BookFixture fixture = new BookFixture();
		for (int number = 0; number < VMS; number++) {
			fixture.vm("vm" + number, "r" + number / 3);
		}
		List<String> cancelled = new ArrayList<>();
		// when
		for (int round = 0; round < ROUNDS; round++) {
			if (random.nextInt(4) == 0) {
				submit(fixture, random, "job" + round);
			}
			disturb(fixture, random, cancelled);
			fixture.pass(ROUND_MS);
		}
		heal(fixture);
		fixture.pass(QUIET_MS);
		// then
		assertThat(fixture.violations).isEmpty();
		assertThat(fixture.jobs.keySet()).allSatisfy((job) -> assertThat(fixture.phase(job)).as(job)
			.isIn(cancelled.contains(job) ? List.of("CANCELLED", "COMPLETED") : List.of("COMPLETED")));
	}

	/**
	 * VMs that leave, and VMs that only seem to: behind a cut that refuses connections,
	 * as their entries lapse.
	 */
	@ParameterizedTest
	@MethodSource("seeds")
	void vmsThatLeaveOrHideMakeNoTaskRunTwice(long seed) {
		// given
		Random random = new Random(seed);
		BookFixture fixture = new BookFixture();
		for (int number = 0; number < VMS; number++) {
			fixture.vm("vm" + number, "r" + number / 3);
		}
		// when
		for (int round = 0; round < ROUNDS / 8; round++) {
			submit(fixture, random, "job" + round);
			fixture.pass(ROUND_MS + random.nextInt(2_000));
			FakeVm vm = fixture.vms.get("vm" + random.nextInt(VMS));
			boolean leaves = random.nextBoolean();
			vm.cut = true;
			vm.refusing = true;
			if (leaves) {
				vm.reboot();
			}
			fixture.pass(leaves ? random.nextInt(1_500) : ENTRY_LAPSES_MS + random.nextInt(2_000));
			fixture.book.vmGone(vm.id, fixture.moment());
			fixture.pass(random.nextInt(6_000));
			vm.cut = false;
			vm.refusing = false;
			fixture.book.vmSeen(vm.report(), fixture.moment());
		}
		fixture.pass(QUIET_MS);
		// then
		assertThat(fixture.violations).isEmpty();
		assertThat(fixture.jobs.keySet())
			.allSatisfy((job) -> assertThat(fixture.phase(job)).as(job).isEqualTo("COMPLETED"));
	}

	private static void submit(BookFixture fixture, Random random, String id) {
		Resources each = new Resources(11_000 + random.nextInt(40_000), 33_000 + random.nextInt(150_000),
				1 << random.nextInt(4));
		long estimateMs = 500 + random.nextInt(8_000);
		int count = 1 + random.nextInt(5);
		Step first = random.nextBoolean() ? BookFixture.step(count, each, estimateMs)
				: BookFixture.gang(Math.min(count, 3), each, estimateMs, random.nextBoolean());
		Step second = new Step(1, BookFixture.SMALL, 700, List.of(0), Step.Shape.INDEPENDENT, Step.Limits.NONE, false);
		String queue = List.of("urgent", "normal", "bulk").get(random.nextInt(3));
		if (random.nextBoolean()) {
			fixture.submit(id, queue, first);
		}
		else {
			fixture.submit(id, queue, first, second);
		}
	}

	private static void disturb(BookFixture fixture, Random random, List<String> cancelled) {
		FakeVm vm = fixture.vms.get("vm" + random.nextInt(VMS));
		switch (random.nextInt(14)) {
			case 0, 1 -> vm.cut = !vm.cut;
			case 2 -> {
				vm.reboot();
				fixture.book.vmSeen(vm.report(), fixture.moment());
			}
			case 3, 4 -> fixture.takeOver();
			case 5 -> fixture.storeAway = !fixture.storeAway;
			case 6 -> fixture.loseAnswers = !fixture.loseAnswers;
			case 7 -> vm.answersLost = !vm.answersLost;
			case 8, 9 -> vm.delayMs = (vm.delayMs > 0) ? 0 : 1_000 + random.nextInt(11_000);
			case 10 -> vm.hanging = !vm.hanging;
			case 11 -> fixture.jobs.keySet()
				.stream()
				.skip(random.nextInt(1 + fixture.jobs.size()))
				.findFirst()
				.ifPresent((job) -> {
					cancelled.add(job);
					fixture.book.cancelled(job, fixture.moment());
				});
			case 12 -> {
				fixture.book.vmGone(vm.id, fixture.moment());
				if (random.nextBoolean()) {
					fixture.book.vmSeen(vm.report(), fixture.moment());
				}
			}
			default -> {
			}
		}
	}

	private static void heal(BookFixture fixture) {
		fixture.storeAway = false;
		fixture.loseAnswers = false;
		for (FakeVm vm : fixture.vms.values()) {
			vm.cut = false;
			vm.answersLost = false;
			vm.delayMs = 0;
			vm.hanging = false;
			fixture.book.vmSeen(vm.report(), fixture.moment());
		}
	}

}
