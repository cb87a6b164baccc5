package org.citronrelay.internal.placement;

/**
 * Room for one member of a gang on one VM.
 *
 * @param vm the index of the VM in the fleet
 * @param first the first accelerator
 * @param accelerators how many adjacent accelerators
 * @param cores how many cores
 * @param memoryGb how much memory, in gigabytes
 */
public record Allocation(int vm, int first, int accelerators, int cores, int memoryGb) {

	/**
	 * The accelerators as a bit mask.
	 */
	public long mask() {
		return Masks.run(this.first, this.accelerators);
	}

}
