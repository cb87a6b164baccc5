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
import org.citronrelay.internal.placement.GuaranteePlan.Shortfall;
import org.citronrelay.internal.placement.GuaranteePlan.Wanted;

/**
 * Sets room aside for each guaranteed shape so that no two blocks overlap.
 *
 * <p>
 * Blocks stay where they are while their VMs are usable. Missing ones are placed by the
 * rank of the team's class, then the largest first; so when VMs are lost, the least
 * important class has the shortfall.
 */
public final class GuaranteePlanner {

	private static final Comparator<Wanted> LARGEST_FIRST = Comparator
		.comparingInt((Wanted wanted) -> wanted.shape().accelerators())
		.thenComparingInt((wanted) -> wanted.shape().totalAccelerators())
		.reversed()
		.thenComparing(Wanted::id);

	private static final Comparator<Wanted> IMPORTANT_FIRST = Comparator.comparingInt(Wanted::priority)
		.thenComparing(LARGEST_FIRST);

	private static final PlacementStrategy TIGHT = new PlacementStrategy.BestFit();

	private GuaranteePlanner() {
	}

	/**
	 * The guaranteed shapes of a catalogue in one failure domain.
	 */
	public static List<Wanted> wanted(Catalogue catalogue, String failureDomain) {
		List<Wanted> wanted = new ArrayList<>();
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
					wanted.add(new Wanted(team.id() + "/" + team.name() + "/" + index + "/" + number, team.id(),
							priority, guarantee.shape(), pointer));
				}
			}
		}
		return wanted;
	}

	/**
	 * The next plan, which keeps what it can of the one before.
	 */
	public static GuaranteePlan plan(Fleet fleet, GuaranteePlan before, List<Wanted> wanted) {
		Map<String, Block> known = new HashMap<>();
		before.blocks().forEach((block) -> known.put(block.id(), block));
		List<Block> kept = new ArrayList<>();
		List<Wanted> missing = new ArrayList<>();
		for (Wanted want : wanted) {
			Block block = known.get(want.id());
			if (block != null && stands(fleet, block, want)) {
				kept.add(block);
			}
			else {
				missing.add(want);
			}
		}
		missing.sort(IMPORTANT_FIRST);
		GuaranteePlan plan = place(fleet, kept, missing);
		return plan.shortfalls().isEmpty() ? plan : better(plan, planAnew(fleet, wanted));
	}

	/**
	 * A plan from nothing, the largest shapes first, which packs best.
	 */
	public static GuaranteePlan planAnew(Fleet fleet, List<Wanted> wanted) {
		return place(fleet, List.of(), wanted.stream().sorted(LARGEST_FIRST).toList());
	}

	private static GuaranteePlan better(GuaranteePlan kept, GuaranteePlan anew) {
		return anew.shortfalls().isEmpty() ? anew : kept;
	}

	private static GuaranteePlan place(Fleet fleet, List<Block> kept, List<Wanted> missing) {
		List<Block> blocks = new ArrayList<>(kept);
		List<Shortfall> shortfalls = new ArrayList<>();
		Fleet current = fleet.withBlocks(blocks);
		for (Wanted want : missing) {
			Option<Block> block = block(current, want);
			if (block.isEmpty()) {
				shortfalls.add(new Shortfall(want, "no room for " + want.shape()));
				continue;
			}
			blocks.add(block.get());
			current = current.withBlocks(blocks);
		}
		return new GuaranteePlan(blocks, shortfalls);
	}

	private static Option<Block> block(Fleet fleet, Wanted want) {
		Room room = new Room.SetAside(want.team());
		List<Allocation> best = null;
		double bestScore = Double.MAX_VALUE;
		for (int[] vms : Placer.places(fleet, want.shape())) {
			List<Allocation> fit = GangFit.fit(fleet, vms, want.shape(), room).getOrElse((List<Allocation>) null);
			double score = (fit != null) ? TIGHT.score(fleet, vms, fit) + setAside(fleet, vms) : Double.MAX_VALUE;
			if (score < bestScore) {
				best = fit;
				bestScore = score;
			}
		}
		return Option.of(best).map((fit) -> new Block(want.id(), want.team(), want.shape(), fit));
	}

	/**
	 * Minus the accelerators that are set aside, so that racks with blocks are filled
	 * before whole ones are begun.
	 */
	private static double setAside(Fleet fleet, int[] vms) {
		double sum = 0;
		for (int vm : vms) {
			sum -= Long.bitCount(fleet.vm(vm).setAside());
		}
		return sum;
	}

	/**
	 * Whether a block can stay: its VMs are usable and no other team's work that cannot
	 * be reclaimed lies in it, as when another holder has placed it under another plan.
	 */
	private static boolean stands(Fleet fleet, Block block, Wanted want) {
		return block.shape().equals(want.shape()) && block.allocations().stream().allMatch((allocation) -> {
			boolean known = allocation.vm() < fleet.size() && fleet.vm(allocation.vm()).usable();
			return known && (fleet.vm(allocation.vm()).heldForGoodByOthers(want.team()) & allocation.mask()) == 0;
		});
	}

}
