package org.citronrelay.internal.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.citronrelay.internal.platform.Vm;

/**
 * The VMs of one failure domain, with the capacity that jobs hold and the blocks that are
 * guaranteed on them. Immutable; each change returns a new fleet.
 */
public final class Fleet {

	/** A fleet without VMs. */
	public static final Fleet EMPTY = of(List.of());

	private final VmOccupancy[] vms;

	private final Map<String, Integer> indexes;

	private final List<int[]> racks;

	private Fleet(VmOccupancy[] vms, Map<String, Integer> indexes, List<int[]> racks) {
		this.vms = vms;
		this.indexes = indexes;
		this.racks = racks;
	}

	/**
	 * Creates a fleet on which no job holds capacity.
	 */
	public static Fleet of(List<Vm> vms) {
		return ofVms(vms.stream().map(VmOccupancy::idle).toArray(VmOccupancy[]::new));
	}

	private static Fleet ofVms(VmOccupancy[] occupancies) {
		Map<String, Integer> indexes = new HashMap<>();
		Map<String, List<Integer>> racks = new LinkedHashMap<>();
		for (int index = 0; index < occupancies.length; index++) {
			Vm vm = occupancies[index].vm();
			indexes.put(vm.id(), index);
			racks.computeIfAbsent(vm.rack(), (rack) -> new ArrayList<>()).add(index);
		}
		List<int[]> rackIndexes = racks.values()
			.stream()
			.map((rack) -> rack.stream().mapToInt(Integer::intValue).toArray())
			.toList();
		return new Fleet(occupancies, indexes, rackIndexes);
	}

	/**
	 * Returns the number of indexes. These include VMs that are no longer in the VM list.
	 */
	public int size() {
		return this.vms.length;
	}

	/**
	 * Returns the VM at an index.
	 */
	public VmOccupancy vm(int index) {
		return this.vms[index];
	}

	/**
	 * Returns the index of a VM, or -1 if the VM is unknown.
	 */
	public int indexOf(String vmId) {
		return this.indexes.getOrDefault(vmId, -1);
	}

	/**
	 * Whether a VM is in the latest VM list.
	 */
	public boolean listed(int index) {
		return this.vms[index].listed();
	}

	/**
	 * Whether the VM accepts new work and no block of another team overlaps the
	 * accelerators of the allocation.
	 */
	public boolean accepts(Allocation allocation, String team) {
		VmOccupancy vm = this.vms[allocation.vm()];
		return vm.usable() && (vm.blockAccelerators() & ~vm.blockAcceleratorsOf(team) & allocation.mask()) == 0;
	}

	/**
	 * Returns the indexes of the VMs, one array for each rack.
	 */
	List<int[]> racks() {
		return this.racks;
	}

	int[] allIndexes() {
		int[] all = new int[this.vms.length];
		Arrays.setAll(all, (index) -> index);
		return all;
	}

	/**
	 * Returns the fleet with a new VM list. VMs keep their index. A VM that is no longer
	 * listed becomes unusable and keeps its holdings until their jobs are known to have
	 * ended. A new VM reuses the index of an unlisted VM that has neither holdings nor
	 * block parts.
	 */
	public Fleet withVms(List<Vm> list) {
		Map<String, Vm> listed = new LinkedHashMap<>();
		list.forEach((vm) -> listed.put(vm.id(), vm));
		List<VmOccupancy> next = new ArrayList<>();
		List<Integer> vacant = new ArrayList<>();
		for (VmOccupancy occupancy : this.vms) {
			Vm vm = listed.remove(occupancy.vm().id());
			if (vm == null && occupancy.holdings().isEmpty() && occupancy.blockParts().isEmpty()) {
				vacant.add(next.size());
			}
			next.add((vm != null) ? occupancy.withVm(vm) : occupancy.unlisted());
		}
		for (Vm vm : listed.values()) {
			if (vacant.isEmpty()) {
				next.add(VmOccupancy.idle(vm));
			}
			else {
				next.set(vacant.removeFirst(), VmOccupancy.idle(vm));
			}
		}
		return ofVms(next.toArray(VmOccupancy[]::new));
	}

	/**
	 * Returns the fleet with one VM marked as usable for new work or not.
	 */
	public Fleet withUsable(int index, boolean usable) {
		VmOccupancy[] next = this.vms.clone();
		next[index] = next[index].withUsable(usable);
		return new Fleet(next, this.indexes, this.racks);
	}

	/**
	 * Returns the fleet with additional holdings.
	 */
	public Fleet withHoldings(List<Holding> holdings) {
		VmOccupancy[] next = this.vms.clone();
		for (Holding holding : holdings) {
			int index = holding.allocation().vm();
			next[index] = next[index].withHolding(holding);
		}
		return new Fleet(next, this.indexes, this.racks);
	}

	/**
	 * Returns the fleet without the holdings of a job on the VMs of the allocations.
	 */
	public Fleet withoutJob(String job, List<Allocation> allocations) {
		VmOccupancy[] next = this.vms.clone();
		for (Allocation allocation : allocations) {
			next[allocation.vm()] = next[allocation.vm()].withoutJob(job);
		}
		return new Fleet(next, this.indexes, this.racks);
	}

	/**
	 * Returns the fleet with the given guaranteed blocks in place of the previous ones.
	 */
	public Fleet withBlocks(List<Block> blocks) {
		Map<Integer, List<VmOccupancy.BlockPart>> parts = new HashMap<>();
		for (Block block : blocks) {
			for (Allocation allocation : block.allocations()) {
				parts.computeIfAbsent(allocation.vm(), (vm) -> new ArrayList<>())
					.add(new VmOccupancy.BlockPart(block.id(), block.team(), allocation));
			}
		}
		VmOccupancy[] next = new VmOccupancy[this.vms.length];
		Arrays.setAll(next, (index) -> this.vms[index].withBlockParts(parts.getOrDefault(index, List.of())));
		return new Fleet(next, this.indexes, this.racks);
	}

	/**
	 * Returns the fleet with a backfill reservation for one waiting job, in place of the
	 * previous reservation. An empty list removes it.
	 */
	public Fleet withBackfillReservation(List<Allocation> allocations) {
		long[] reserved = new long[this.vms.length];
		allocations.forEach((allocation) -> reserved[allocation.vm()] |= allocation.mask());
		VmOccupancy[] next = this.vms.clone();
		for (int index = 0; index < next.length; index++) {
			if (next[index].backfillReserved() != reserved[index]) {
				next[index] = next[index].withBackfillReserved(reserved[index]);
			}
		}
		return new Fleet(next, this.indexes, this.racks);
	}

}
