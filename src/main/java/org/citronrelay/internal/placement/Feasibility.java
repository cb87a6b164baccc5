package org.citronrelay.internal.placement;

import java.util.List;

import org.citronrelay.Shape;
import org.citronrelay.internal.platform.Vm;

/**
 * Whether a shape could run on a fleet if nothing else did.
 */
public final class Feasibility {

	private Feasibility() {
	}

	/**
	 * Whether the VMs could hold the shape.
	 */
	public static boolean everFits(List<Vm> vms, Shape shape) {
		Fleet idle = Fleet.of(vms);
		return Placer.places(idle, shape)
			.stream()
			.anyMatch((place) -> GangFit.fit(idle, place, shape, new Room.Borrowed()).isDefined());
	}

}
