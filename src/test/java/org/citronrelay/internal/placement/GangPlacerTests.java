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
import org.citronrelay.internal.placement.GuaranteePlan.GuaranteedShape;
import org.citronrelay.testing.Fixtures;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link GangPlacer} against a naive search, and that guaranteed blocks can always
 * be reclaimed.
 */
class GangPlacerTests {

	private static final int REQUESTS = 40;

	private final GangPlacer placer = new GangPlacer(new PlacementStrategy.BestFit(), (job) -> 0);

	@Property(tries = 300, seed = "7")
	void noPlacementViolatesAGuaranteeOnceItsVictimsAreStopped(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Fleet fleet = fleetWithBlocks();
		for (int number = 0; number < REQUESTS; number++) {
			PlacementRequest request = randomRequest(random, number);
			Option<Placement> placement = this.placer.place(fleet, request);
			if (placement.isEmpty()) {
				continue;
			}
			for (String victim : placement.get().victims()) {
				fleet = remove(fleet, victim);
			}
			assertDisjoint(fleet, placement.get());
			fleet = fleet.withHoldings(placement.get().holdings(request));
			assertThat(GuaranteeCheck.violations(fleet)).isEmpty();
		}
	}

	@Property(tries = 300, seed = "8")
	void aGuaranteedShapeIsAlwaysPlacedHoweverFullTheFleetIs(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Fleet fleet = fleetWithBlocks();
		for (int number = 0; number < REQUESTS; number++) {
			PlacementRequest other = new PlacementRequest("other-" + number, "gamma", randomShape(random),
					random.nextBoolean(), false);
			Option<Placement> placement = this.placer.place(fleet, other);
			fleet = placement.isDefined() ? fleet.withHoldings(placement.get().holdings(other)) : fleet;
		}
		PlacementRequest guaranteed = new PlacementRequest("guaranteed", "alpha", new Shape(2, 8, 16, 32, Spread.RACK),
				false, false);
		assertThat(this.placer.place(fleet, guaranteed).isDefined()).isTrue();
	}

	@Property(tries = 300, seed = "9")
	void whatANaiveSearchPlacesInIdleCapacityThePlacerPlacesToo(
			@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Fleet fleet = Fleet.of(Fixtures.vms("east", 4, 2));
		for (int number = 0; number < 12; number++) {
			PlacementRequest request = new PlacementRequest("job-" + number, "gamma", randomShape(random), false,
					false);
			boolean naive = naiveFits(fleet, request.shape());
			Option<Placement> placement = this.placer.place(fleet, request);
			assertThat(placement.isDefined()).as(request.shape().toString()).isEqualTo(naive);
			fleet = placement.isDefined() ? fleet.withHoldings(placement.get().holdings(request)) : fleet;
		}
	}

	@Test
	void aSmallJobFillsTheSmallerGap() {
		// given
		Fleet fleet = Fleet.of(Fixtures.vms("east", 2, 2));
		PlacementRequest first = new PlacementRequest("first", "gamma", new Shape(1, 5, 0, 0, Spread.RACK), false,
				false);
		fleet = fleet.withHoldings(this.placer.place(fleet, first).get().holdings(first));

		// when
		Placement placement = this.placer
			.place(fleet, new PlacementRequest("second", "gamma", new Shape(1, 3, 0, 0, Spread.RACK), false, false))
			.get();

		// then
		assertThat(placement.allocations()).containsExactly(new Allocation(0, 5, 3, 0, 0));
	}

	private static Fleet fleetWithBlocks() {
		Fleet fleet = Fleet.of(Fixtures.vms("east", 8, 4));
		List<GuaranteedShape> shapes = GuaranteePlanner.guaranteedShapes(Fixtures.catalogue(), "east")
			.stream()
			.map((shape) -> new GuaranteedShape(shape.id(), shape.team().replace("id-", ""), shape.priority(),
					shape.shape(), shape.pointer()))
			.toList();
		GuaranteePlan plan = GuaranteePlanner.planFromScratch(fleet, shapes);
		assertThat(plan.shortfalls()).isEmpty();
		return fleet.withBlocks(plan.blocks());
	}

	private static PlacementRequest randomRequest(SplittableRandom random, int number) {
		String team = List.of("alpha", "beta", "gamma").get(random.nextInt(3));
		return new PlacementRequest("job-" + number, team, randomShape(random), random.nextBoolean(),
				random.nextInt(5) == 0);
	}

	private static Shape randomShape(SplittableRandom random) {
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
		return fleet.withoutJob(job, allocations);
	}

	private static void assertDisjoint(Fleet fleet, Placement placement) {
		for (Allocation allocation : placement.allocations()) {
			assertThat(fleet.vm(allocation.vm()).heldAccelerators() & allocation.mask()).isZero();
		}
	}

	/**
	 * Whether a greedy count of members, from the first accelerator of each VM to the
	 * last, finds enough. The count is exact here: there are no blocks, and no other
	 * choice of starts lets more members of equal length fit into a run.
	 */
	private static boolean naiveFits(Fleet fleet, Shape shape) {
		return GangPlacer.vmGroups(fleet, shape).stream().anyMatch((group) -> {
			int members = 0;
			for (int vm : group) {
				members += naiveMemberCount(fleet.vm(vm), shape);
			}
			return members >= shape.members();
		});
	}

	private static int naiveMemberCount(VmOccupancy vm, Shape shape) {
		int cores = vm.vm().cores() - vm.holdings().stream().mapToInt((holding) -> holding.allocation().cores()).sum();
		int memory = vm.vm().memoryGb()
				- vm.holdings().stream().mapToInt((holding) -> holding.allocation().memoryGb()).sum();
		int members = 0;
		int run = 0;
		for (int accelerator = 0; accelerator < vm.vm().accelerators(); accelerator++) {
			run = ((vm.heldAccelerators() >> accelerator & 1) == 0) ? run + 1 : 0;
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
