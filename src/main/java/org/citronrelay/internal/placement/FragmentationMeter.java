package org.citronrelay.internal.placement;

import org.citronrelay.Shape;
import org.citronrelay.Spread;

/**
 * Measures how scattered free capacity is.
 */
public final class FragmentationMeter {

	private FragmentationMeter() {
	}

	/**
	 * The share of idle accelerators that the reference shape cannot use, from 0 to 1; 0
	 * when none is idle.
	 */
	public static double unusableShare(Fleet fleet, Shape reference) {
		int idle = FreeRuns.idle(fleet, fleet.everywhere());
		if (idle == 0) {
			return 0;
		}
		int usable = 0;
		for (int[] vms : Placer.places(fleet, reference)) {
			int members = 0;
			for (int vm : vms) {
				members += FreeRuns.count(fleet.vm(vm), reference, 0);
			}
			usable += members / reference.members() * reference.totalAccelerators();
		}
		return 1.0 - (double) usable / idle;
	}

	/**
	 * The idle accelerators of the fleet.
	 */
	public static int idle(Fleet fleet) {
		return FreeRuns.idle(fleet, fleet.everywhere());
	}

	/**
	 * The shape to measure with where there is no guarantee: one whole rack VM.
	 */
	public static Shape defaultReference() {
		return new Shape(1, 8, 0, 0, Spread.RACK);
	}

}
