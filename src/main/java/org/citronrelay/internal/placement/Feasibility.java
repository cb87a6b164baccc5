package org.citronrelay.internal.placement;

import java.util.List;

import org.citronrelay.internal.placement.GuaranteePlan.Wanted;
import org.citronrelay.internal.platform.Vm;

/**
 * Whether a job could run on a fleet if no other did.
 */
public final class Feasibility {

	private static final Placer PLACER = new Placer(new PlacementStrategy.FirstFit(), (job) -> 0);

	private Feasibility() {
	}

	/**
	 * Whether the VMs could ever hold the job beside what is set aside for other teams.
	 */
	public static boolean everFits(List<Vm> vms, List<Wanted> guarantees, Ask ask) {
		Fleet idle = Fleet.of(vms);
		GuaranteePlan plan = GuaranteePlanner.planAnew(idle, guarantees);
		return PLACER.place(idle.withBlocks(plan.blocks()), ask).isDefined();
	}

}
