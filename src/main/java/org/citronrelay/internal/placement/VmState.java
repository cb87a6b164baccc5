package org.citronrelay.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.citronrelay.internal.placement.Holding.Tenure;
import org.citronrelay.internal.platform.Vm;

/**
 * One VM with all that is held and set aside on it. Immutable.
 *
 * @param vm the VM
 * @param listed whether it is in the latest VM list
 * @param usable whether new work may be placed on it
 * @param holdings what is held
 * @param parts what is set aside for guarantees
 * @param kept the accelerators kept for the waiting job at the head of the queue
 */
public record VmState(Vm vm, boolean listed, boolean usable, List<Holding> holdings, List<BlockPart> parts, long kept) {

	public VmState {
		Objects.requireNonNull(vm, "vm");
		holdings = List.copyOf(holdings);
		parts = List.copyOf(parts);
	}

	/**
	 * An idle VM.
	 */
	public static VmState idle(Vm vm) {
		return new VmState(vm, true, !vm.leaving(), List.of(), List.of(), 0);
	}

	long all() {
		return Masks.low(this.vm.accelerators());
	}

	/**
	 * The accelerators that somebody holds.
	 */
	long held() {
		long mask = 0;
		for (Holding holding : this.holdings) {
			mask |= holding.allocation().mask();
		}
		return mask;
	}

	/**
	 * The accelerators held by other teams that they cannot be told to give back.
	 */
	long heldForGoodByOthers(String team) {
		long mask = 0;
		for (Holding holding : this.holdings) {
			boolean harmless = holding.team().equals(team)
					|| (holding.reclaimable() && holding.tenure() != Tenure.GUARANTEED);
			mask |= harmless ? 0 : holding.allocation().mask();
		}
		return mask;
	}

	/**
	 * The accelerators set aside for a team.
	 */
	long setAsideFor(String team) {
		long mask = 0;
		for (BlockPart part : this.parts) {
			if (part.team().equals(team)) {
				mask |= part.allocation().mask();
			}
		}
		return mask;
	}

	/**
	 * The accelerators set aside for any team.
	 */
	long setAside() {
		long mask = 0;
		for (BlockPart part : this.parts) {
			mask |= part.allocation().mask();
		}
		return mask;
	}

	VmState withUsable(boolean newUsable) {
		return new VmState(this.vm, this.listed, newUsable, this.holdings, this.parts, this.kept);
	}

	VmState withVm(Vm newVm) {
		return new VmState(newVm, true, this.usable && !newVm.leaving(), this.holdings, this.parts, this.kept);
	}

	VmState gone() {
		return new VmState(this.vm, false, false, this.holdings, this.parts, this.kept);
	}

	VmState withKept(long newKept) {
		return new VmState(this.vm, this.listed, this.usable, this.holdings, this.parts, newKept);
	}

	/**
	 * The VM with other blocks. What is held is looked at anew: work in a block that is
	 * gone holds common room, and work that can be reclaimed borrows where another team's
	 * block lies now.
	 */
	VmState withParts(List<BlockPart> newParts) {
		if (newParts.equals(this.parts)) {
			return this;
		}
		VmState released = new VmState(this.vm, this.listed, this.usable,
				this.holdings.stream().map((holding) -> releasedFrom(holding, newParts)).toList(), newParts, this.kept);
		boolean overfull = released.commonRoom(Resource.CORES) < 0 || released.commonRoom(Resource.MEMORY) < 0;
		return new VmState(this.vm, this.listed, this.usable,
				released.holdings.stream().map((holding) -> borrowing(holding, newParts, overfull)).toList(), newParts,
				this.kept);
	}

	private static Holding releasedFrom(Holding holding, List<BlockPart> parts) {
		long own = 0;
		boolean any = false;
		for (BlockPart part : parts) {
			boolean same = part.team().equals(holding.team());
			own |= same ? part.allocation().mask() : 0;
			any |= same;
		}
		long mask = holding.allocation().mask();
		boolean within = any && (mask & own) == mask;
		boolean positioned = mask != 0;
		if (within && (positioned || holding.tenure() == Tenure.GUARANTEED)) {
			return holding.withTenure(Tenure.GUARANTEED);
		}
		return (holding.tenure() == Tenure.GUARANTEED) ? holding.withTenure(Tenure.COMMON) : holding;
	}

	private static Holding borrowing(Holding holding, List<BlockPart> parts, boolean overfull) {
		boolean overlaps = parts.stream()
			.anyMatch((part) -> !part.team().equals(holding.team())
					&& (part.allocation().mask() & holding.allocation().mask()) != 0);
		boolean becomes = holding.reclaimable() && holding.tenure() == Tenure.COMMON && (overlaps || overfull);
		return becomes ? holding.withTenure(Tenure.BORROWED) : holding;
	}

	VmState plus(Holding holding) {
		List<Holding> more = new ArrayList<>(this.holdings);
		more.add(holding);
		return new VmState(this.vm, this.listed, this.usable, more, this.parts, this.kept);
	}

	VmState minus(String job) {
		return new VmState(this.vm, this.listed, this.usable,
				this.holdings.stream().filter((holding) -> !holding.job().equals(job)).toList(), this.parts, this.kept);
	}

	/**
	 * The cores or memory that work of a team may still take.
	 * @param resource which of the two
	 * @param team the team, whose own blocks count as its own
	 * @param reclaiming whether reclaimable work outside its own blocks counts as free
	 */
	int ownRoom(Resource resource, String team, boolean reclaiming) {
		int used = 0;
		for (Holding holding : this.holdings) {
			boolean own = holding.tenure() == Tenure.GUARANTEED && holding.team().equals(team);
			boolean othersBlock = holding.tenure() == Tenure.GUARANTEED && !own;
			boolean yields = reclaiming && holding.reclaimable() && holding.tenure() == Tenure.BORROWED;
			used += (othersBlock || yields) ? 0 : resource.of(holding.allocation());
		}
		return resource.of(this.vm) - used - othersReserve(resource, team);
	}

	/**
	 * The cores or memory that belong to nobody.
	 */
	int commonRoom(Resource resource) {
		int used = 0;
		for (Holding holding : this.holdings) {
			used += (holding.tenure() == Tenure.GUARANTEED) ? 0 : resource.of(holding.allocation());
		}
		return resource.of(this.vm) - used - othersReserve(resource, "");
	}

	/**
	 * The cores or memory that nobody uses at present.
	 */
	int idleRoom(Resource resource) {
		int used = 0;
		for (Holding holding : this.holdings) {
			used += resource.of(holding.allocation());
		}
		return resource.of(this.vm) - used;
	}

	/**
	 * What other teams than the given one have set aside here, or hold within it where
	 * that is more.
	 */
	private int othersReserve(Resource resource, String team) {
		int reserve = 0;
		for (int index = 0; index < this.parts.size(); index++) {
			String other = this.parts.get(index).team();
			if (!other.equals(team) && firstPartOf(other) == index) {
				reserve += Math.max(setAside(resource, other), guaranteedUse(resource, other));
			}
		}
		return reserve;
	}

	private int firstPartOf(String team) {
		int index = 0;
		while (!this.parts.get(index).team().equals(team)) {
			index++;
		}
		return index;
	}

	private int setAside(Resource resource, String team) {
		int sum = 0;
		for (BlockPart part : this.parts) {
			sum += part.team().equals(team) ? resource.of(part.allocation()) : 0;
		}
		return sum;
	}

	private int guaranteedUse(Resource resource, String team) {
		int sum = 0;
		for (Holding holding : this.holdings) {
			boolean within = holding.tenure() == Tenure.GUARANTEED && holding.team().equals(team);
			sum += within ? resource.of(holding.allocation()) : 0;
		}
		return sum;
	}

	/**
	 * The part of a block that lies on one VM.
	 *
	 * @param block the id of the block
	 * @param team the id of its team
	 * @param allocation the room
	 */
	public record BlockPart(String block, String team, Allocation allocation) {
	}

	/**
	 * A resource that has no position.
	 */
	enum Resource {

		CORES {

			@Override
			int of(Vm vm) {
				return vm.cores();
			}

			@Override
			int of(Allocation allocation) {
				return allocation.cores();
			}

		},

		MEMORY {

			@Override
			int of(Vm vm) {
				return vm.memoryGb();
			}

			@Override
			int of(Allocation allocation) {
				return allocation.memoryGb();
			}

		};

		abstract int of(Vm vm);

		abstract int of(Allocation allocation);

	}

}
