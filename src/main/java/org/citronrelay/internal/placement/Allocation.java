package org.citronrelay.internal.placement;

/**
 * The resources of one VM that one member of a gang occupies.
 *
 * @param vm the index of the VM in the {@link Fleet}
 * @param first the position of the first accelerator on the VM, from 0
 * @param accelerators the number of adjacent accelerators
 * @param cores the number of cores
 * @param memoryGb the memory, in gigabytes
 */
public record Allocation(int vm, int first, int accelerators, int cores, int memoryGb) {

	/**
	 * Returns the accelerators as a bit mask; bit n stands for accelerator n.
	 */
	public long mask() {
		return Masks.run(this.first, this.accelerators);
	}

}
