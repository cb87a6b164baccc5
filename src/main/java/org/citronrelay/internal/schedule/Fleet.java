package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.VmReport;
import org.citronrelay.internal.http.Address;

/**
 * The VMs that one coordinator knows, and the leases it has given them.
 */
final class Fleet {

	/** Where a VM stands of which only the name is known. */
	private static final Address NOWHERE = new Address("0.0.0.0", 1);

	/** How many heartbeats after a VM was heard its entry may go if it left by itself. */
	private static final double HEARTBEATS_TO_LEAVE = 1.5;

	/** How much longer a lease may last than its length, for a slow clock. */
	private static final double SLOW_CLOCK = 1.05;

	/**
	 * How long a VM with an end that is not stored yet is left alone, in milliseconds.
	 */
	private static final long UNSTORED_PAUSE_MS = 500;

	private final Map<String, VmState> vms = new LinkedHashMap<>();

	private final ScheduleTimings timings;

	private final long begunAt;

	Fleet(ScheduleTimings timings, Moment now) {
		this.timings = timings;
		this.begunAt = now.ticks();
	}

	Collection<VmState> all() {
		return this.vms.values();
	}

	VmState find(String id) {
		return this.vms.get(id);
	}

	/**
	 * Takes in a report; gives the runs that ended because the VM started again.
	 */
	List<TaskState> seen(VmReport report) {
		VmState vm = this.vms.computeIfAbsent(report.id(), (id) -> new VmState(report));
		if (report.boot() < vm.report.boot()) {
			return List.of();
		}
		List<TaskState> lost = booted(vm, report.boot());
		vm.report = report;
		vm.registered = true;
		vm.left = false;
		return lost;
	}

	/**
	 * Takes in which start of the VM is heard; gives the runs of earlier ones.
	 */
	List<TaskState> booted(VmState vm, long boot) {
		if (boot <= vm.report.boot()) {
			return List.of();
		}
		VmReport old = vm.report;
		vm.report = new VmReport(old.id(), old.pool(), old.address(), old.failureDomain(), boot, old.draining(),
				old.capacity(), old.rack(), old.labels());
		vm.strays.clear();
		vm.unstoredEnds.clear();
		vm.seenEnd = 0;
		vm.acknowledged = 0;
		vm.fenced = false;
		vm.clockMs = 0;
		vm.heardAt = 0;
		vm.leaseUntil = 0;
		vm.failedInRow = 0;
		vm.benchedUntil = 0;
		return vm.tasks.stream().filter((task) -> task.boot < boot).toList();
	}

	/**
	 * Takes in that a VM is not registered any more. The entry of a silent VM goes after
	 * three heartbeats; one that goes within half of that after the VM was heard was
	 * removed by the VM itself as it left.
	 */
	void gone(String id, Moment now) {
		VmState vm = this.vms.get(id);
		if (vm != null) {
			vm.registered = false;
			vm.left = vm.heardAt > 0 && now.ticks() - vm.heardAt <= HEARTBEATS_TO_LEAVE * this.timings.heartbeatMs();
		}
	}

	/**
	 * The runs that are surely over, since their VM left the register and nobody listens
	 * at its address. Only both together are proof: a VM that is cut off may lose its
	 * entry, and a connection across a cut may be refused, while its runs go on.
	 */
	List<TaskState> departed(String id, boolean nobodyThere) {
		VmState vm = this.vms.get(id);
		return (vm != null && nobodyThere && vm.left && !vm.registered) ? List.copyOf(vm.tasks) : List.of();
	}

	void unanswered(String id, Moment now) {
		VmState vm = this.vms.get(id);
		if (vm != null) {
			vm.renewing = false;
			vm.silent = true;
			vm.renewAt = now.ticks() + this.timings.retryMs();
		}
	}

	/**
	 * Takes in a run that an earlier coordinator placed.
	 */
	void adopt(TaskState task, Moment now) {
		task.placedAt = now.ticks();
		task.savedAt = now.ticks();
		task.roseAt = now.ticks();
		this.vms.computeIfAbsent(task.vm, Fleet::unknown).tasks.add(task);
	}

	/**
	 * Whether everything on the VM has surely ended because nobody renewed its lease.
	 */
	boolean surelyLapsed(VmState vm, Moment now) {
		if (vm.heardAt > 0 && vm.fenced) {
			return vm.lapsed(now);
		}
		return now.ticks() - this.begunAt > SLOW_CLOCK * this.timings.longestLeaseMs() + this.timings.leaseMs() / 10;
	}

	/**
	 * Takes in that a VM answered. At the first answer nobody knows what lease an earlier
	 * coordinator gave, so the longest one counts.
	 */
	void answered(VmState vm, long clockMs, Moment now) {
		if (!vm.fenced) {
			vm.leaseUntil = Math.max(vm.leaseUntil, clockMs + this.timings.longestLeaseMs());
		}
		vm.renewing = false;
		vm.silent = false;
		vm.fenced = true;
		vm.renewAt = now.ticks();
		vm.acknowledged = Math.max(vm.acknowledged, vm.acknowledgeable());
		vm.heard(clockMs, now);
	}

	/**
	 * The end of the lease to offer a VM now, on its clock. An offer without an answer
	 * may still be taken, so a silent VM is offered no more than before: else its lease
	 * would never surely end.
	 */
	long offerLease(VmState vm, Moment now) {
		if (!vm.silent) {
			vm.leaseUntil = Math.max(vm.leaseUntil, vm.clockMs + (now.ticks() - vm.heardAt) + this.timings.leaseMs());
		}
		return vm.leaseUntil;
	}

	/**
	 * Forgets VMs that are not registered and run nothing.
	 */
	void forgetGone() {
		this.vms.values().removeIf((vm) -> !vm.registered && vm.tasks.isEmpty());
	}

	/**
	 * The renewal that is due, if one is.
	 */
	Optional<Effect> renewal(VmState vm, Moment now, boolean sure) {
		boolean wanted = !vm.tasks.isEmpty() || !vm.strays.isEmpty() || vm.acknowledgeable() > vm.acknowledged
				|| (!vm.fenced && vm.registered);
		if (!wanted || vm.renewing || now.ticks() < vm.renewAt || vm.report.address().equals(NOWHERE)) {
			return Optional.empty();
		}
		boolean unstored = !vm.unstoredEnds.isEmpty();
		if (unstored && now.ticks() < vm.renewSentAt + UNSTORED_PAUSE_MS) {
			return Optional.empty();
		}
		long leaseUntil = (sure && vm.fenced && !vm.silent) ? offerLease(vm, now) : 0;
		vm.renewing = true;
		vm.renewSentAt = now.ticks();
		boolean busy = vm.fenced && !unstored && !vm.tasks.isEmpty();
		return Optional
			.of(new Effect.Renew(vm.report, leaseUntil, vm.acknowledgeable(), busy ? this.timings.renewWaitMs() : 0));
	}

	private static VmState unknown(String id) {
		VmState vm = new VmState(new VmReport(id, "", NOWHERE, "", 0, false, Resources.NONE, "", Set.of()));
		vm.registered = false;
		return vm;
	}

	List<Room> rooms(Moment now) {
		List<Room> rooms = new ArrayList<>();
		for (VmState vm : this.vms.values()) {
			if (vm.open(now) && vm.fenced) {
				rooms.add(new Room(vm));
			}
		}
		return rooms;
	}

}
