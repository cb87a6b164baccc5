package org.citronrelay.internal.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.citronrelay.internal.platform.Vm;

/**
 * The VMs of one failure domain with all that is held on them. Immutable; each change
 * gives a new fleet.
 */
public final class Fleet {

	/** A fleet without VMs. */
	public static final Fleet EMPTY = of(List.of());

	private final VmState[] vms;

	private final Map<String, Integer> indexes;

	private final List<int[]> racks;

	private Fleet(VmState[] vms, Map<String, Integer> indexes, List<int[]> racks) {
		this.vms = vms;
		this.indexes = indexes;
		this.racks = racks;
	}

	/**
	 * An idle fleet.
	 */
	public static Fleet of(List<Vm> vms) {
		return ofStates(vms.stream().map(VmState::idle).toArray(VmState[]::new));
	}

	private static Fleet ofStates(VmState[] states) {
		Map<String, Integer> indexes = new HashMap<>();
		Map<String, List<Integer>> racks = new LinkedHashMap<>();
		for (int index = 0; index < states.length; index++) {
			Vm vm = states[index].vm();
			indexes.put(vm.id(), index);
			racks.computeIfAbsent(vm.rack(), (rack) -> new ArrayList<>()).add(index);
		}
		List<int[]> rackIndexes = racks.values()
			.stream()
			.map((rack) -> rack.stream().mapToInt(Integer::intValue).toArray())
			.toList();
		return new Fleet(states, indexes, rackIndexes);
	}

	/**
	 * The number of VMs, those that are gone included while something is held on them.
	 */
	public int size() {
		return this.vms.length;
	}

	/**
	 * The VM at an index.
	 */
	public VmState vm(int index) {
		return this.vms[index];
	}

	/**
	 * The index of a VM, or -1.
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
	 * Whether a VM takes new work and no other team's block lies over the room.
	 */
	public boolean open(Allocation allocation, String team) {
		VmState vm = this.vms[allocation.vm()];
		return vm.usable() && (vm.setAside() & ~vm.setAsideFor(team) & allocation.mask()) == 0;
	}

	/**
	 * The indexes of the VMs, rack by rack.
	 */
	List<int[]> racks() {
		return this.racks;
	}

	/**
	 * The indexes of all VMs.
	 */
	int[] everywhere() {
		int[] all = new int[this.vms.length];
		Arrays.setAll(all, (index) -> index);
		return all;
	}

	/**
	 * The fleet after the VM list changed. VMs keep their index; one that is gone becomes
	 * unusable and keeps what is held on it until that is known to have ended. A new VM
	 * takes the index of one that is gone and empty.
	 */
	public Fleet withList(List<Vm> list) {
		Map<String, Vm> listed = new LinkedHashMap<>();
		list.forEach((vm) -> listed.put(vm.id(), vm));
		List<VmState> next = new ArrayList<>();
		List<Integer> vacant = new ArrayList<>();
		for (VmState state : this.vms) {
			Vm vm = listed.remove(state.vm().id());
			if (vm == null && state.holdings().isEmpty() && state.parts().isEmpty()) {
				vacant.add(next.size());
			}
			next.add((vm != null) ? state.withVm(vm) : state.gone());
		}
		for (Vm vm : listed.values()) {
			if (vacant.isEmpty()) {
				next.add(VmState.idle(vm));
			}
			else {
				next.set(vacant.removeFirst(), VmState.idle(vm));
			}
		}
		return ofStates(next.toArray(VmState[]::new));
	}

	/**
	 * The fleet with one VM open to new work or not.
	 */
	public Fleet withUsable(int index, boolean usable) {
		VmState[] next = this.vms.clone();
		next[index] = next[index].withUsable(usable);
		return new Fleet(next, this.indexes, this.racks);
	}

	/**
	 * The fleet with a job holding room.
	 */
	public Fleet plus(List<Holding> holdings) {
		VmState[] next = this.vms.clone();
		for (Holding holding : holdings) {
			int index = holding.allocation().vm();
			next[index] = next[index].plus(holding);
		}
		return new Fleet(next, this.indexes, this.racks);
	}

	/**
	 * The fleet without a job on some VMs.
	 */
	public Fleet minus(String job, List<Allocation> allocations) {
		VmState[] next = this.vms.clone();
		for (Allocation allocation : allocations) {
			next[allocation.vm()] = next[allocation.vm()].minus(job);
		}
		return new Fleet(next, this.indexes, this.racks);
	}

	/**
	 * The fleet with other guaranteed blocks.
	 */
	public Fleet withBlocks(List<Block> blocks) {
		Map<Integer, List<VmState.BlockPart>> parts = new HashMap<>();
		for (Block block : blocks) {
			for (Allocation allocation : block.allocations()) {
				parts.computeIfAbsent(allocation.vm(), (vm) -> new ArrayList<>())
					.add(new VmState.BlockPart(block.id(), block.team(), allocation));
			}
		}
		VmState[] next = new VmState[this.vms.length];
		Arrays.setAll(next, (index) -> this.vms[index].withParts(parts.getOrDefault(index, List.of())));
		return new Fleet(next, this.indexes, this.racks);
	}

	/**
	 * The fleet with room kept for one waiting job, and for no other.
	 */
	public Fleet withKept(List<Allocation> allocations) {
		long[] kept = new long[this.vms.length];
		allocations.forEach((allocation) -> kept[allocation.vm()] |= allocation.mask());
		VmState[] next = this.vms.clone();
		for (int index = 0; index < next.length; index++) {
			if (next[index].kept() != kept[index]) {
				next[index] = next[index].withKept(kept[index]);
			}
		}
		return new Fleet(next, this.indexes, this.racks);
	}

}
