package org.citronrelay.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.vavr.control.Option;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.citronrelay.Shape;
import org.citronrelay.Spread;
import org.citronrelay.internal.placement.GuaranteePlan.Wanted;
import org.citronrelay.testing.Fixtures;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The placer against a naive search, and the promise that blocks can be reclaimed.
 */
class PlacerTests {

	private static final int ASKS = 40;

	private final Placer placer = new Placer(new PlacementStrategy.BestFit(), (job) -> 0);

	@Property(tries = 300, seed = "7")
	void noPlacementBreaksAGuaranteeAndVictimsAlwaysYield(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Fleet fleet = fleetWithBlocks();
		for (int number = 0; number < ASKS; number++) {
			Ask ask = ask(random, number);
			Option<Choice> choice = this.placer.place(fleet, ask);
			if (choice.isEmpty()) {
				continue;
			}
			for (String victim : choice.get().victims()) {
				fleet = remove(fleet, victim);
			}
			assertDisjoint(fleet, choice.get());
			fleet = fleet.plus(choice.get().holdings(ask));
			assertThat(GuaranteeCheck.violations(fleet)).isEmpty();
		}
	}

	@Property(tries = 300, seed = "8")
	void aGuaranteedShapeIsAlwaysPlacedHoweverFullTheFleetIs(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Fleet fleet = fleetWithBlocks();
		for (int number = 0; number < ASKS; number++) {
			Ask other = new Ask("other-" + number, "gamma", shape(random), random.nextBoolean(), false);
			Option<Choice> choice = this.placer.place(fleet, other);
			fleet = choice.isDefined() ? fleet.plus(choice.get().holdings(other)) : fleet;
		}
		Ask guaranteed = new Ask("mine", "alpha", new Shape(2, 8, 16, 32, Spread.RACK), false, false);
		assertThat(this.placer.place(fleet, guaranteed).isDefined()).isTrue();
	}

	@Property(tries = 300, seed = "9")
	void whatANaiveSearchPlacesInIdleRoomThePlacerPlacesToo(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Fleet fleet = Fleet.of(Fixtures.vms("east", 4, 2));
		for (int number = 0; number < 12; number++) {
			Ask ask = new Ask("job-" + number, "gamma", shape(random), false, false);
			boolean naive = naiveFits(fleet, ask.shape());
			Option<Choice> choice = this.placer.place(fleet, ask);
			assertThat(choice.isDefined()).as(ask.shape().toString()).isEqualTo(naive);
			fleet = choice.isDefined() ? fleet.plus(choice.get().holdings(ask)) : fleet;
		}
	}

	@Test
	void aSmallJobFillsTheSmallerGap() {
		// given
		Fleet fleet = Fleet.of(Fixtures.vms("east", 2, 2));
		Ask first = new Ask("first", "gamma", new Shape(1, 5, 0, 0, Spread.RACK), false, false);
		fleet = fleet.plus(this.placer.place(fleet, first).get().holdings(first));

		// when
		Choice choice = this.placer
			.place(fleet, new Ask("second", "gamma", new Shape(1, 3, 0, 0, Spread.RACK), false, false))
			.get();

		// then
		assertThat(choice.allocations()).containsExactly(new Allocation(0, 5, 3, 0, 0));
	}

	private static Fleet fleetWithBlocks() {
		Fleet fleet = Fleet.of(Fixtures.vms("east", 8, 4));
		List<Wanted> wanted = GuaranteePlanner.wanted(Fixtures.catalogue(), "east")
			.stream()
			.map((want) -> new Wanted(want.id(), want.team().replace("id-", ""), want.priority(), want.shape(),
					want.pointer()))
			.toList();
		GuaranteePlan plan = GuaranteePlanner.planAnew(fleet, wanted);
		assertThat(plan.shortfalls()).isEmpty();
		return fleet.withBlocks(plan.blocks());
	}

	private static Ask ask(SplittableRandom random, int number) {
		String team = List.of("alpha", "beta", "gamma").get(random.nextInt(3));
		return new Ask("job-" + number, team, shape(random), random.nextBoolean(), random.nextInt(5) == 0);
	}

	private static Shape shape(SplittableRandom random) {
		return new Shape(1 + random.nextInt(4), 1 + random.nextInt(8), random.nextInt(40), random.nextInt(100),
				random.nextBoolean() ? Spread.RACK : Spread.DOMAIN);
	}

	private static Fleet remove(Fleet fleet, String job) {
		List<Allocation> allocations = new ArrayList<>();
		for (int vm = 0; vm < fleet.size(); vm++) {
			fleet.vm(vm)
				.holdings()
				.stream()
				.filter((holding) -> holding.job().equals(job))
				.forEach((holding) -> allocations.add(holding.allocation()));
		}
		return fleet.minus(job, allocations);
	}

	private static void assertDisjoint(Fleet fleet, Choice choice) {
		for (Allocation allocation : choice.allocations()) {
			assertThat(fleet.vm(allocation.vm()).held() & allocation.mask()).isZero();
		}
	}

	/**
	 * Counts, VM by VM and start by start, how many members fit; exact here because no
	 * block and no choice of start can make a run of equal lengths pack better.
	 */
	private static boolean naiveFits(Fleet fleet, Shape shape) {
		return Placer.places(fleet, shape).stream().anyMatch((place) -> {
			int members = 0;
			for (int vm : place) {
				members += naiveMembers(fleet.vm(vm), shape);
			}
			return members >= shape.members();
		});
	}

	private static int naiveMembers(VmState vm, Shape shape) {
		int cores = vm.vm().cores() - vm.holdings().stream().mapToInt((holding) -> holding.allocation().cores()).sum();
		int memory = vm.vm().memoryGb()
				- vm.holdings().stream().mapToInt((holding) -> holding.allocation().memoryGb()).sum();
		int members = 0;
		int run = 0;
		for (int accelerator = 0; accelerator < vm.vm().accelerators(); accelerator++) {
			run = ((vm.held() >> accelerator & 1) == 0) ? run + 1 : 0;
			if (run == shape.accelerators()) {
				members++;
				run = 0;
			}
		}
		int byCores = (shape.cores() == 0) ? members : cores / shape.cores();
		int byMemory = (shape.memoryGb() == 0) ? members : memory / shape.memoryGb();
		return Math.min(members, Math.min(byCores, byMemory));
	}

}
