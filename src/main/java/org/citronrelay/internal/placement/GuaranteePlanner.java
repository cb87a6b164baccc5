package org.citronrelay.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry.ServiceClass;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.Guarantee;
import org.citronrelay.internal.placement.GuaranteePlan.GuaranteedShape;
import org.citronrelay.internal.placement.GuaranteePlan.Shortfall;

/**
 * Assigns a block of capacity to each guaranteed shape so that no two blocks overlap.
 *
 * <p>
 * A block stays where it is while its VMs are usable, its shape is unchanged and no other
 * team holds part of it with work that cannot be reclaimed. Missing blocks are placed in
 * the order of the priority of the team's service class, then the largest first; so when
 * VMs are lost, the least important class has the shortfall.
 */
public final class GuaranteePlanner {

	private static final Comparator<GuaranteedShape> LARGEST_FIRST = Comparator
		.comparingInt((GuaranteedShape guaranteed) -> guaranteed.shape().accelerators())
		.thenComparingInt((guaranteed) -> guaranteed.shape().totalAccelerators())
		.reversed()
		.thenComparing(GuaranteedShape::id);

	private static final Comparator<GuaranteedShape> HIGHEST_PRIORITY_FIRST = Comparator
		.comparingInt(GuaranteedShape::priority)
		.thenComparing(LARGEST_FIRST);

	private static final PlacementStrategy BEST_FIT = new PlacementStrategy.BestFit();

	private GuaranteePlanner() {
	}

	/**
	 * Returns the guaranteed shapes of a catalogue in one failure domain.
	 */
	public static List<GuaranteedShape> guaranteedShapes(Catalogue catalogue, String failureDomain) {
		List<GuaranteedShape> shapes = new ArrayList<>();
		for (int teamIndex = 0; teamIndex < catalogue.teams().size(); teamIndex++) {
			Team team = catalogue.teams().get(teamIndex);
			int priority = catalogue.serviceClass(team.serviceClass()).map(ServiceClass::priority).getOrElse(99);
			for (int index = 0; index < team.guarantees().size(); index++) {
				Guarantee guarantee = team.guarantees().get(index);
				if (!guarantee.failureDomain().equals(failureDomain)) {
					continue;
				}
				String pointer = "/teams/" + teamIndex + "/guarantees/" + index;
				for (int number = 0; number < guarantee.count(); number++) {
					shapes.add(new GuaranteedShape(team.id() + "/" + team.name() + "/" + index + "/" + number,
							team.id(), priority, guarantee.shape(), pointer));
				}
			}
		}
		return shapes;
	}

	/**
	 * Returns the next plan. It keeps the valid blocks of the previous plan, unless only
	 * a plan from scratch has a block for every shape.
	 */
	public static GuaranteePlan plan(Fleet fleet, GuaranteePlan previous, List<GuaranteedShape> shapes) {
		Map<String, Block> previousBlocks = new HashMap<>();
		previous.blocks().forEach((block) -> previousBlocks.put(block.id(), block));
		List<Block> validBlocks = new ArrayList<>();
		List<GuaranteedShape> missing = new ArrayList<>();
		for (GuaranteedShape shape : shapes) {
			Block block = previousBlocks.get(shape.id());
			if (block != null && isStillValid(fleet, block, shape)) {
				validBlocks.add(block);
			}
			else {
				missing.add(shape);
			}
		}
		missing.sort(HIGHEST_PRIORITY_FIRST);
		GuaranteePlan plan = place(fleet, validBlocks, missing);
		return plan.shortfalls().isEmpty() ? plan : preferred(plan, planFromScratch(fleet, shapes));
	}

	/**
	 * Plans without regard to existing blocks. The largest shapes are placed first, which
	 * packs best.
	 */
	public static GuaranteePlan planFromScratch(Fleet fleet, List<GuaranteedShape> shapes) {
		return place(fleet, List.of(), shapes.stream().sorted(LARGEST_FIRST).toList());
	}

	private static GuaranteePlan preferred(GuaranteePlan incremental, GuaranteePlan fromScratch) {
		return fromScratch.shortfalls().isEmpty() ? fromScratch : incremental;
	}

	private static GuaranteePlan place(Fleet fleet, List<Block> validBlocks, List<GuaranteedShape> missing) {
		List<Block> blocks = new ArrayList<>(validBlocks);
		List<Shortfall> shortfalls = new ArrayList<>();
		Fleet current = fleet.withBlocks(blocks);
		for (GuaranteedShape shape : missing) {
			Option<Block> block = findBlock(current, shape);
			if (block.isEmpty()) {
				shortfalls.add(new Shortfall(shape, "no free capacity for " + shape.shape()));
				continue;
			}
			blocks.add(block.get());
			current = current.withBlocks(blocks);
		}
		return new GuaranteePlan(blocks, shortfalls);
	}

	private static Option<Block> findBlock(Fleet fleet, GuaranteedShape shape) {
		CapacitySource source = new CapacitySource.NewBlock(shape.team());
		List<Allocation> best = null;
		double bestScore = Double.MAX_VALUE;
		for (int[] vms : GangPlacer.vmGroups(fleet, shape.shape())) {
			List<Allocation> fit = GangFit.fit(fleet, vms, shape.shape(), source).getOrElse((List<Allocation>) null);
			double score = (fit != null) ? BEST_FIT.score(fleet, vms, fit) + blockScore(fleet, vms) : Double.MAX_VALUE;
			if (score < bestScore) {
				best = fit;
				bestScore = score;
			}
		}
		return Option.of(best).map((fit) -> new Block(shape.id(), shape.team(), shape.shape(), fit));
	}

	/**
	 * Returns the negative number of accelerators in blocks on the VMs, so that racks
	 * that have blocks are filled before racks without any are used.
	 */
	private static double blockScore(Fleet fleet, int[] vms) {
		double sum = 0;
		for (int vm : vms) {
			sum -= Long.bitCount(fleet.vm(vm).blockAccelerators());
		}
		return sum;
	}

	/**
	 * Whether a block can stay: its shape is unchanged, its VMs are usable, and no other
	 * team holds part of it with work that cannot be reclaimed. Such work can exist when
	 * another holder placed it under a different plan.
	 */
	private static boolean isStillValid(Fleet fleet, Block block, GuaranteedShape shape) {
		return block.shape().equals(shape.shape()) && block.allocations().stream().allMatch((allocation) -> {
			boolean usable = allocation.vm() < fleet.size() && fleet.vm(allocation.vm()).usable();
			return usable && (fleet.vm(allocation.vm()).nonReclaimableByOthers(shape.team()) & allocation.mask()) == 0;
		});
	}

}
