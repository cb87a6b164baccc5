package org.citronrelay.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.citronrelay.internal.placement.Holding.HoldingKind;
import org.citronrelay.internal.platform.Vm;

/**
 * One VM with its holdings and the parts of guaranteed blocks on it. Immutable.
 *
 * @param vm the VM
 * @param listed whether it is in the latest VM list
 * @param usable whether new work may be placed on it
 * @param holdings the resources that jobs hold on it
 * @param blockParts the parts of guaranteed blocks on it
 * @param backfillReserved the mask of the accelerators under the backfill reservation for
 * the job at the head of the queue
 */
public record VmOccupancy(Vm vm, boolean listed, boolean usable, List<Holding> holdings, List<BlockPart> blockParts,
		long backfillReserved) {

	public VmOccupancy {
		Objects.requireNonNull(vm, "vm");
		holdings = List.copyOf(holdings);
		blockParts = List.copyOf(blockParts);
	}

	/**
	 * Creates a listed VM without holdings; it is usable unless it is draining.
	 */
	public static VmOccupancy idle(Vm vm) {
		return new VmOccupancy(vm, true, !vm.draining(), List.of(), List.of(), 0);
	}

	long allAccelerators() {
		return Masks.lowBits(this.vm.accelerators());
	}

	/**
	 * Returns the mask of the accelerators that any job holds.
	 */
	long heldAccelerators() {
		long mask = 0;
		for (Holding holding : this.holdings) {
			mask |= holding.allocation().mask();
		}
		return mask;
	}

	/**
	 * Returns the mask of the accelerators that other teams hold and that cannot be
	 * reclaimed.
	 */
	long nonReclaimableByOthers(String team) {
		long mask = 0;
		for (Holding holding : this.holdings) {
			boolean ownOrReclaimable = holding.team().equals(team)
					|| (holding.reclaimable() && holding.kind() != HoldingKind.GUARANTEED);
			mask |= ownOrReclaimable ? 0 : holding.allocation().mask();
		}
		return mask;
	}

	/**
	 * Returns the mask of the accelerators in the blocks of a team.
	 */
	long blockAcceleratorsOf(String team) {
		long mask = 0;
		for (BlockPart part : this.blockParts) {
			if (part.team().equals(team)) {
				mask |= part.allocation().mask();
			}
		}
		return mask;
	}

	/**
	 * Returns the mask of the accelerators in blocks of any team.
	 */
	long blockAccelerators() {
		long mask = 0;
		for (BlockPart part : this.blockParts) {
			mask |= part.allocation().mask();
		}
		return mask;
	}

	VmOccupancy withUsable(boolean newUsable) {
		return new VmOccupancy(this.vm, this.listed, newUsable, this.holdings, this.blockParts, this.backfillReserved);
	}

	VmOccupancy withVm(Vm newVm) {
		return new VmOccupancy(newVm, true, this.usable && !newVm.draining(), this.holdings, this.blockParts,
				this.backfillReserved);
	}

	VmOccupancy unlisted() {
		return new VmOccupancy(this.vm, false, false, this.holdings, this.blockParts, this.backfillReserved);
	}

	VmOccupancy withBackfillReserved(long newReserved) {
		return new VmOccupancy(this.vm, this.listed, this.usable, this.holdings, this.blockParts, newReserved);
	}

	/**
	 * Returns the VM with the given block parts. The kind of each holding is determined
	 * again: a holding within blocks of its own team becomes {@code GUARANTEED}, a
	 * guaranteed holding outside them becomes {@code COMMON}, and a common holding that
	 * can be reclaimed becomes {@code BORROWED} if it overlaps a block of another team or
	 * if cores or memory are overcommitted.
	 */
	VmOccupancy withBlockParts(List<BlockPart> newParts) {
		if (newParts.equals(this.blockParts)) {
			return this;
		}
		VmOccupancy reclassified = new VmOccupancy(this.vm, this.listed, this.usable,
				this.holdings.stream().map((holding) -> reclassifyForOwnBlocks(holding, newParts)).toList(), newParts,
				this.backfillReserved);
		boolean overcommitted = reclassified.commonCapacity(Resource.CORES) < 0
				|| reclassified.commonCapacity(Resource.MEMORY) < 0;
		return new VmOccupancy(this.vm, this.listed, this.usable,
				reclassified.holdings.stream()
					.map((holding) -> reclassifyAsBorrowed(holding, newParts, overcommitted))
					.toList(),
				newParts, this.backfillReserved);
	}

	/**
	 * A holding without accelerators has no position to compare with the blocks, so it
	 * stays guaranteed if it was and its team still has a block on the VM.
	 */
	private static Holding reclassifyForOwnBlocks(Holding holding, List<BlockPart> parts) {
		long own = 0;
		boolean ownsBlock = false;
		for (BlockPart part : parts) {
			boolean sameTeam = part.team().equals(holding.team());
			own |= sameTeam ? part.allocation().mask() : 0;
			ownsBlock |= sameTeam;
		}
		long mask = holding.allocation().mask();
		boolean within = ownsBlock && (mask & own) == mask;
		boolean hasAccelerators = mask != 0;
		if (within && (hasAccelerators || holding.kind() == HoldingKind.GUARANTEED)) {
			return holding.withKind(HoldingKind.GUARANTEED);
		}
		return (holding.kind() == HoldingKind.GUARANTEED) ? holding.withKind(HoldingKind.COMMON) : holding;
	}

	private static Holding reclassifyAsBorrowed(Holding holding, List<BlockPart> parts, boolean overcommitted) {
		boolean overlaps = parts.stream()
			.anyMatch((part) -> !part.team().equals(holding.team())
					&& (part.allocation().mask() & holding.allocation().mask()) != 0);
		boolean borrows = holding.reclaimable() && holding.kind() == HoldingKind.COMMON && (overlaps || overcommitted);
		return borrows ? holding.withKind(HoldingKind.BORROWED) : holding;
	}

	VmOccupancy withHolding(Holding holding) {
		List<Holding> more = new ArrayList<>(this.holdings);
		more.add(holding);
		return new VmOccupancy(this.vm, this.listed, this.usable, more, this.blockParts, this.backfillReserved);
	}

	VmOccupancy withoutJob(String job) {
		return new VmOccupancy(this.vm, this.listed, this.usable,
				this.holdings.stream().filter((holding) -> !holding.job().equals(job)).toList(), this.blockParts,
				this.backfillReserved);
	}

	/**
	 * Returns the cores or memory that a team may use, its own blocks included.
	 * @param reclaiming whether borrowed resources that can be reclaimed count as free
	 */
	int capacityFor(Resource resource, String team, boolean reclaiming) {
		int used = 0;
		for (Holding holding : this.holdings) {
			boolean own = holding.kind() == HoldingKind.GUARANTEED && holding.team().equals(team);
			boolean othersBlock = holding.kind() == HoldingKind.GUARANTEED && !own;
			boolean reclaimed = reclaiming && holding.reclaimable() && holding.kind() == HoldingKind.BORROWED;
			used += (othersBlock || reclaimed) ? 0 : resource.of(holding.allocation());
		}
		return resource.of(this.vm) - used - guaranteedToOthers(resource, team);
	}

	/**
	 * Returns the cores or memory outside all guarantees that no job holds; negative if
	 * they are overcommitted.
	 */
	int commonCapacity(Resource resource) {
		int used = 0;
		for (Holding holding : this.holdings) {
			used += (holding.kind() == HoldingKind.GUARANTEED) ? 0 : resource.of(holding.allocation());
		}
		return resource.of(this.vm) - used - guaranteedToOthers(resource, "");
	}

	/**
	 * Returns the cores or memory that no job holds.
	 */
	int idleCapacity(Resource resource) {
		int used = 0;
		for (Holding holding : this.holdings) {
			used += resource.of(holding.allocation());
		}
		return resource.of(this.vm) - used;
	}

	/**
	 * Returns the cores or memory in the blocks of all other teams; for each team at
	 * least what its guaranteed holdings use.
	 */
	private int guaranteedToOthers(Resource resource, String team) {
		int guaranteed = 0;
		for (int index = 0; index < this.blockParts.size(); index++) {
			String other = this.blockParts.get(index).team();
			if (!other.equals(team) && indexOfFirstPart(other) == index) {
				guaranteed += Math.max(guaranteedCapacity(resource, other), guaranteedInUse(resource, other));
			}
		}
		return guaranteed;
	}

	private int indexOfFirstPart(String team) {
		int index = 0;
		while (!this.blockParts.get(index).team().equals(team)) {
			index++;
		}
		return index;
	}

	private int guaranteedCapacity(Resource resource, String team) {
		int sum = 0;
		for (BlockPart part : this.blockParts) {
			sum += part.team().equals(team) ? resource.of(part.allocation()) : 0;
		}
		return sum;
	}

	private int guaranteedInUse(Resource resource, String team) {
		int sum = 0;
		for (Holding holding : this.holdings) {
			boolean within = holding.kind() == HoldingKind.GUARANTEED && holding.team().equals(team);
			sum += within ? resource.of(holding.allocation()) : 0;
		}
		return sum;
	}

	/**
	 * The part of a block that lies on one VM.
	 *
	 * @param block the id of the block
	 * @param team the id of its team
	 * @param allocation the resources of the part
	 */
	public record BlockPart(String block, String team, Allocation allocation) {
	}

	/**
	 * A resource that is only counted, unlike accelerators, which have positions. Memory
	 * is counted in gigabytes.
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
