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
final class VmRegistry {

	/** Where a VM stands of which only the name is known. */
	private static final Address UNKNOWN_ADDRESS = new Address("0.0.0.0", 1);

	/** How many heartbeats after a VM was heard its entry may go if it left by itself. */
	private static final double SELF_REMOVAL_HEARTBEATS = 1.5;

	/** How much longer a lease may last than its length, for a slow clock. */
	private static final double CLOCK_DRIFT_FACTOR = 1.05;

	/**
	 * How long a VM with an end that is not stored yet is left alone, in milliseconds.
	 */
	private static final long UNSTORED_END_RENEW_INTERVAL_MS = 500;

	private final Map<String, VmState> vms = new LinkedHashMap<>();

	private final ScheduleTimings timings;

	private final long termStartedAt;

	VmRegistry(ScheduleTimings timings, Moment now) {
		this.timings = timings;
		this.termStartedAt = now.ticks();
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
	List<TaskState> registered(VmReport report) {
		VmState vm = this.vms.computeIfAbsent(report.id(), (id) -> new VmState(report));
		if (report.boot() < vm.report.boot()) {
			return List.of();
		}
		List<TaskState> lost = restarted(vm, report.boot());
		vm.report = report;
		vm.registered = true;
		vm.removedItself = false;
		return lost;
	}

	/**
	 * Takes in which start of the VM is heard; gives the runs of earlier ones.
	 */
	List<TaskState> restarted(VmState vm, long boot) {
		if (boot <= vm.report.boot()) {
			return List.of();
		}
		VmReport old = vm.report;
		vm.report = new VmReport(old.id(), old.pool(), old.address(), old.failureDomain(), boot, old.draining(),
				old.capacity(), old.rack(), old.labels());
		vm.orphanedRuns.clear();
		vm.unstoredEnds.clear();
		vm.handledEnd = 0;
		vm.acknowledgedEnd = 0;
		vm.fenced = false;
		vm.clockMs = 0;
		vm.answeredAt = 0;
		vm.leaseUntil = 0;
		vm.consecutiveFailures = 0;
		vm.quarantinedUntil = 0;
		return vm.tasks.stream().filter((task) -> task.boot < boot).toList();
	}

	/**
	 * Takes in that a VM is not registered any more. The entry of a silent VM goes after
	 * three heartbeats; one that goes within half of that after the VM was heard was
	 * removed by the VM itself as it left.
	 */
	void deregistered(String id, Moment now) {
		VmState vm = this.vms.get(id);
		if (vm != null) {
			vm.registered = false;
			vm.removedItself = vm.answeredAt > 0
					&& now.ticks() - vm.answeredAt <= SELF_REMOVAL_HEARTBEATS * this.timings.heartbeatMs();
		}
	}

	/**
	 * The runs that are surely over, since their VM left the register and nobody listens
	 * at its address. Only both together are proof: a VM that is cut off may lose its
	 * entry, and a connection across a cut may be refused, while its runs go on.
	 */
	List<TaskState> runsEndedByShutdown(String id, boolean nobodyThere) {
		VmState vm = this.vms.get(id);
		return (vm != null && nobodyThere && vm.removedItself && !vm.registered) ? List.copyOf(vm.tasks) : List.of();
	}

	void renewalUnanswered(String id, Moment now) {
		VmState vm = this.vms.get(id);
		if (vm != null) {
			vm.renewalPending = false;
			vm.unanswered = true;
			vm.nextRenewalAt = now.ticks() + this.timings.retryMs();
		}
	}

	/**
	 * Takes in a run that an earlier coordinator placed.
	 */
	void adopt(TaskState task, Moment now) {
		task.placedAt = now.ticks();
		task.checkpointedAt = now.ticks();
		task.progressedAt = now.ticks();
		this.vms.computeIfAbsent(task.vm, VmRegistry::unregisteredVm).tasks.add(task);
	}

	/**
	 * Whether everything on the VM has surely ended because nobody renewed its lease.
	 */
	boolean leaseLapsed(VmState vm, Moment now) {
		if (vm.answeredAt > 0 && vm.fenced) {
			return vm.leaseLapsed(now);
		}
		return now.ticks() - this.termStartedAt > CLOCK_DRIFT_FACTOR * this.timings.longestLeaseMs()
				+ this.timings.leaseMs() / 10;
	}

	/**
	 * Takes in that a VM answered. At the first answer nobody knows what lease an earlier
	 * coordinator gave, so the longest one counts.
	 */
	void renewalAnswered(VmState vm, long clockMs, Moment now) {
		if (!vm.fenced) {
			vm.leaseUntil = Math.max(vm.leaseUntil, clockMs + this.timings.longestLeaseMs());
		}
		vm.renewalPending = false;
		vm.unanswered = false;
		vm.fenced = true;
		vm.nextRenewalAt = now.ticks();
		vm.acknowledgedEnd = Math.max(vm.acknowledgedEnd, vm.acknowledgeableEnd());
		vm.recordAnswer(clockMs, now);
	}

	/**
	 * The end of the lease to offer a VM now, on its clock. An offer without an answer
	 * may still be taken, so a silent VM is offered no more than before: else its lease
	 * would never surely end.
	 */
	long extendLeaseOffer(VmState vm, Moment now) {
		if (!vm.unanswered) {
			vm.leaseUntil = Math.max(vm.leaseUntil,
					vm.clockMs + (now.ticks() - vm.answeredAt) + this.timings.leaseMs());
		}
		return vm.leaseUntil;
	}

	/**
	 * Forgets VMs that are not registered and run nothing.
	 */
	void removeUnregistered() {
		this.vms.values().removeIf((vm) -> !vm.registered && vm.tasks.isEmpty());
	}

	/**
	 * The renewal that is due, if one is.
	 */
	Optional<Effect> dueRenewal(VmState vm, Moment now, boolean sure) {
		boolean wanted = !vm.tasks.isEmpty() || !vm.orphanedRuns.isEmpty()
				|| vm.acknowledgeableEnd() > vm.acknowledgedEnd || (!vm.fenced && vm.registered);
		if (!wanted || vm.renewalPending || now.ticks() < vm.nextRenewalAt
				|| vm.report.address().equals(UNKNOWN_ADDRESS)) {
			return Optional.empty();
		}
		boolean unstored = !vm.unstoredEnds.isEmpty();
		if (unstored && now.ticks() < vm.renewalSentAt + UNSTORED_END_RENEW_INTERVAL_MS) {
			return Optional.empty();
		}
		long leaseUntil = (sure && vm.fenced && !vm.unanswered) ? extendLeaseOffer(vm, now) : 0;
		vm.renewalPending = true;
		vm.renewalSentAt = now.ticks();
		boolean busy = vm.fenced && !unstored && !vm.tasks.isEmpty();
		return Optional.of(new Effect.Renew(vm.report, leaseUntil, vm.acknowledgeableEnd(),
				busy ? this.timings.renewWaitMs() : 0));
	}

	private static VmState unregisteredVm(String id) {
		VmState vm = new VmState(new VmReport(id, "", UNKNOWN_ADDRESS, "", 0, false, Resources.NONE, "", Set.of()));
		vm.registered = false;
		return vm;
	}

	List<VmCapacity> availableCapacities(Moment now) {
		List<VmCapacity> rooms = new ArrayList<>();
		for (VmState vm : this.vms.values()) {
			if (vm.acceptsTasks(now) && vm.fenced) {
				rooms.add(new VmCapacity(vm));
			}
		}
		return rooms;
	}

}
