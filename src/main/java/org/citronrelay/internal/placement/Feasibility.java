package org.citronrelay.internal.placement;

import java.util.List;

import org.citronrelay.internal.placement.GuaranteePlan.GuaranteedShape;
import org.citronrelay.internal.platform.Vm;

/**
 * Decides whether a job could run on otherwise idle VMs.
 */
public final class Feasibility {

	private static final GangPlacer PLACER = new GangPlacer(new PlacementStrategy.FirstFit(), (job) -> 0);

	private Feasibility() {
	}

	/**
	 * Whether the job fits on the VMs when no other job runs and the guarantees of all
	 * teams are respected.
	 */
	public static boolean everFits(List<Vm> vms, List<GuaranteedShape> guarantees, PlacementRequest request) {
		Fleet idle = Fleet.of(vms);
		GuaranteePlan plan = GuaranteePlanner.planFromScratch(idle, guarantees);
		return PLACER.place(idle.withBlocks(plan.blocks()), request).isDefined();
	}

}
