package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.VmRegistration;
import org.citronrelay.internal.http.Address;

/**
 * The VMs known to one coordinator, and the leases that it has offered them.
 */
final class VmRegistry {

	/**
	 * The placeholder address of a VM of which only the id is known; never contacted.
	 */
	private static final Address UNKNOWN_ADDRESS = new Address("0.0.0.0", 1);

	/**
	 * The factor by which a lease may outlast its nominal length, because the clock of a
	 * VM may run slow.
	 */
	private static final double CLOCK_DRIFT_FACTOR = 1.05;

	/**
	 * The least time between renewals to a VM with an end that is not stored yet, in
	 * milliseconds.
	 */
	private static final long UNSTORED_END_RENEW_INTERVAL_MS = 500;

	/**
	 * How long lapsed runs of a VM that is not registered are remembered, in longest
	 * leases since its last answer.
	 */
	private static final int LAPSED_RUN_MEMORY_LEASES = 6;

	/**
	 * How long after its last answer a VM counts as the same instance without being
	 * asked, in milliseconds: no VM restarts and ends a run in less.
	 */
	private static final long SHORTEST_RESTART_MS = 1_000;

	private final Map<String, VmState> vms = new LinkedHashMap<>();

	private final ScheduleTimings timings;

	private final long termStartedAt;

	VmRegistry(ScheduleTimings timings, Moment now) {
		this.timings = timings;
		this.termStartedAt = now.monotonicMs();
	}

	Collection<VmState> all() {
		return this.vms.values();
	}

	VmState find(String id) {
		return this.vms.get(id);
	}

	/**
	 * Applies a registration, unless it is of an earlier boot. A registration proves
	 * nothing about another instance, as other systems write to the store, too: the VMs
	 * whose id or address it claims are asked, and returned.
	 */
	List<VmState> registered(VmRegistration registration, Moment now) {
		List<VmState> doubted = new ArrayList<>(claimedBy(registration));
		VmState vm = this.vms.computeIfAbsent(registration.id(), (id) -> new VmState(registration));
		if (registration.boot() >= vm.registration.boot()) {
			vm.registered = true;
			if (vm.answeredAt > 0 && registration.boot() > vm.registration.boot()) {
				if (vm.successor == null || vm.successor.boot() != registration.boot()) {
					doubted.add(vm);
				}
				vm.successor = registration;
			}
			else {
				vm.replaced &= registration.boot() == vm.registration.boot();
				apply(vm, registration, now);
			}
		}
		doubted.forEach((other) -> other.doubt(now));
		return doubted;
	}

	private static void apply(VmState vm, VmRegistration registration, Moment now) {
		vm.registration = registration;
		vm.fullCapacity = vm.fullCapacity.max(registration.capacity());
		boolean announced = registration.draining() && registration.remainingMs() != VmRegistration.UNKNOWN;
		vm.leavesAt = announced ? now.monotonicMs() + registration.remainingMs() : Long.MAX_VALUE;
	}

	/**
	 * Returns the VMs whose address a later registration has under another id.
	 */
	private List<VmState> claimedBy(VmRegistration registration) {
		VmState known = this.vms.get(registration.id());
		if (known != null && known.registration.boot() == registration.boot()
				&& known.registration.address().equals(registration.address())) {
			return List.of();
		}
		return this.vms.values()
			.stream()
			.filter((other) -> !other.id().equals(registration.id())
					&& other.registration.address().equals(registration.address())
					&& other.newestBoot() < registration.boot())
			.toList();
	}

	/**
	 * Records that another instance runs at the address of a VM. Two instances cannot
	 * have one address, so the VM and its runs are gone.
	 */
	Optional<LostInstance> replaced(VmState vm, String evidence, Moment now) {
		vm.successor = null;
		vm.doubtedAt = 0;
		if (vm.replaced) {
			return Optional.empty();
		}
		vm.replaced = true;
		LostInstance lost = LostInstance.replaced(vm, evidence, now);
		vm.lapsedRuns = List.of();
		return Optional.of(lost);
	}

	/**
	 * Applies the boot that a VM reports with its runs. Returns the instance of before,
	 * if there was one, with those of its runs that the VM does not list: the others have
	 * been started by the new instance.
	 * @param askedAt when the renewal was sent, in monotonic milliseconds
	 */
	Optional<LostInstance> bootReported(VmState vm, VmAnswer answer, long askedAt, Moment now) {
		List<TaskState> runsOfEarlierBoots = vm.tasks.stream().filter((task) -> task.boot != answer.boot()).toList();
		boolean restarted = answer.boot() != vm.registration.boot();
		if (!restarted && runsOfEarlierBoots.isEmpty() && vm.lapsedRuns.isEmpty()) {
			return Optional.empty();
		}
		LostInstance lost = LostInstance.restarted(vm,
				runsOfEarlierBoots.stream().filter((task) -> !answer.lists(task.id(), task.run)).toList(),
				answer.boot(), answer.moreEnds() ? 0 : askedAt, now);
		if (restarted) {
			forgetInstance(vm, answer.boot(), now);
		}
		return Optional.of(lost);
	}

	/**
	 * Forgets what is known of the instance of before, once another one has answered.
	 */
	private static void forgetInstance(VmState vm, long boot, Moment now) {
		VmRegistration previous = vm.registration;
		vm.replaced = false;
		vm.fullCapacity = Resources.NONE;
		if (vm.successor != null && vm.successor.boot() == boot) {
			apply(vm, vm.successor, now);
		}
		else {
			vm.registration = new VmRegistration(previous.id(), previous.pool(), previous.address(),
					previous.failureDomain(), boot, previous.draining(), previous.remainingMs(), previous.capacity(),
					previous.rack(), previous.labels());
		}
		vm.orphanedRuns.clear();
		vm.unstoredEnds.clear();
		vm.handledEnd = 0;
		vm.acknowledgedEnd = 0;
		vm.fenced = false;
		vm.clockMs = 0;
		vm.answeredAt = 0;
		vm.silentSince = 0;
		vm.leaseUntil = 0;
		vm.consecutiveFailures = 0;
		vm.quarantinedUntil = 0;
	}

	/**
	 * Records that a VM is no longer registered. That does not prove that it has shut
	 * down, even if it had announced that: it may have lost its connection to the store.
	 */
	void deregistered(String id) {
		VmState vm = this.vms.get(id);
		if (vm != null) {
			vm.registered = false;
		}
	}

	/**
	 * Returns the VM to which a renewal was the last one, empty if it has been overtaken.
	 */
	Optional<VmState> awaiting(Effect.Renew renewal) {
		return Optional.ofNullable(this.vms.get(renewal.vm().id()))
			.filter((vm) -> vm.renewalPending && vm.renewalSentAt == renewal.issuedAt());
	}

	void renewalUnanswered(VmState vm, Moment now) {
		vm.renewalPending = false;
		vm.unanswered = true;
		vm.silentSince = (vm.silentSince > 0) ? vm.silentSince : now.monotonicMs();
		vm.nextRenewalAt = now.monotonicMs() + this.timings.retryMs();
	}

	/**
	 * Adds a run that an earlier coordinator placed.
	 */
	void adopt(TaskState task, Moment now) {
		task.placedAt = now.monotonicMs();
		task.checkpointedAt = now.monotonicMs();
		task.progressedAt = now.monotonicMs();
		this.vms.computeIfAbsent(task.vm, (id) -> unregisteredVm(id, task.address)).tasks.add(task);
	}

	/**
	 * Whether all runs on the VM have ended because its lease has lapsed. A VM that has
	 * not answered this coordinator may hold the longest lease since the start of the
	 * term.
	 */
	boolean leaseLapsed(VmState vm, Moment now) {
		if (vm.answeredAt > 0 && vm.fenced) {
			return vm.leaseLapsed(now);
		}
		return longestLeaseLapsed(this.termStartedAt, now);
	}

	/**
	 * Whether a run has ended for certain once the lease of its VM has lapsed. A run that
	 * the VM has not listed may be on a later instance, which counts the lease on a clock
	 * of its own, from the start command.
	 */
	boolean endedWithLease(TaskState task, Moment now) {
		return task.listed || task.startIssuedAt == 0 || longestLeaseLapsed(task.startIssuedAt, now);
	}

	private boolean longestLeaseLapsed(long since, Moment now) {
		return now.monotonicMs() - since > CLOCK_DRIFT_FACTOR * this.timings.longestLeaseMs()
				+ this.timings.leaseMs() / 10;
	}

	/**
	 * Applies an answer to a renewal. At the first answer the lease that an earlier
	 * coordinator gave is unknown, so the longest one is assumed.
	 */
	void renewalAnswered(VmState vm, Effect.Renew renewal, long clockMs, Moment now) {
		if (!vm.fenced) {
			vm.leaseUntil = Math.max(vm.leaseUntil, clockMs + this.timings.longestLeaseMs());
		}
		vm.lapsedRuns = List.of();
		vm.renewalPending = false;
		vm.unanswered = false;
		vm.silentSince = 0;
		vm.fenced = true;
		vm.nextRenewalAt = now.monotonicMs();
		vm.acknowledgedEnd = Math.max(vm.acknowledgedEnd, renewal.acknowledge());
		if (renewal.issuedAt() > vm.doubtedAt) {
			vm.doubtedAt = 0;
			vm.successor = null;
		}
		vm.recordAnswer(clockMs, now);
	}

	/**
	 * Returns the end of the lease to offer a VM now, in milliseconds on its clock, never
	 * more than a lease from now: a later coordinator relies on that. A VM may have
	 * accepted an offer although its answer was lost. While a renewal is unanswered the
	 * offer is therefore not extended: otherwise the coordinator could never tell that
	 * the lease has lapsed.
	 */
	long extendLeaseOffer(VmState vm, Moment now) {
		if (!vm.unanswered) {
			vm.leaseUntil = Math.max(vm.leaseUntil, vm.earliestClockMs(now) + this.timings.leaseMs());
		}
		return vm.leaseUntil;
	}

	/**
	 * Removes VMs that are not registered and have no tasks. Those with runs that may
	 * have ended in a crash are kept for a time.
	 */
	void removeUnregistered(Moment now) {
		this.vms.values()
			.removeIf((vm) -> !vm.registered && vm.tasks.isEmpty() && (vm.lapsedRuns.isEmpty()
					|| now.monotonicMs() - vm.answeredAt > LAPSED_RUN_MEMORY_LEASES * this.timings.longestLeaseMs()));
	}

	/**
	 * Returns the renewal to send to a VM now, empty if none is due.
	 * @param leadershipConfirmed whether no other coordinator can hold leadership; only
	 * then is the lease extended
	 */
	Optional<Effect> dueRenewal(VmState vm, Moment now, boolean leadershipConfirmed) {
		boolean needed = !vm.tasks.isEmpty() || !vm.orphanedRuns.isEmpty()
				|| vm.acknowledgeableEnd() > vm.acknowledgedEnd || ((!vm.fenced || !vm.reachable()) && vm.registered);
		boolean pending = vm.renewalPending && vm.renewalSentAt >= vm.doubtedAt;
		boolean gone = vm.replaced && vm.successor == null;
		if (!needed || gone || pending || now.monotonicMs() < vm.nextRenewalAt
				|| vm.registration.address().equals(UNKNOWN_ADDRESS)) {
			return Optional.empty();
		}
		boolean hasUnstoredEnd = !vm.unstoredEnds.isEmpty();
		if (hasUnstoredEnd && now.monotonicMs() < vm.renewalSentAt + UNSTORED_END_RENEW_INTERVAL_MS) {
			return Optional.empty();
		}
		long leaseUntil = (leadershipConfirmed && vm.fenced && vm.reachable()) ? extendLeaseOffer(vm, now) : 0;
		boolean mayWait = vm.fenced && vm.doubtedAt == 0 && vm.clockKnown(now) && !hasUnstoredEnd
				&& !vm.tasks.isEmpty();
		long waitMs = mayWait ? longestWait(vm, now) : 0;
		vm.renewalPending = true;
		vm.renewalSentAt = now.monotonicMs();
		return Optional.of(new Effect.Renew((vm.successor != null) ? vm.successor : vm.registration, leaseUntil,
				acknowledge(vm, now), waitMs, now.monotonicMs()));
	}

	/**
	 * Returns how long the answer of a VM may wait for a run to end, in milliseconds.
	 */
	private long longestWait(VmState vm, Moment now) {
		return Math.min(this.timings.renewWaitMs(), Math.min(vm.guardEndsInMs(now), vm.confirmationInMs(now)));
	}

	/**
	 * Returns the end number to acknowledge, 0 for none. Each number is acknowledged
	 * until an answer confirms it, and only while the VM answers: after a restart the VM
	 * counts anew, and would discard ends that nobody has read.
	 */
	private static long acknowledge(VmState vm, Moment now) {
		boolean sameInstance = vm.fenced && vm.reachable() && now.monotonicMs() - vm.answeredAt <= SHORTEST_RESTART_MS;
		return (sameInstance && vm.acknowledgeableEnd() > vm.acknowledgedEnd) ? vm.acknowledgeableEnd() : 0;
	}

	private static VmState unregisteredVm(String id, Address address) {
		VmState vm = new VmState(new VmRegistration(id, "", (address != null) ? address : UNKNOWN_ADDRESS, "", 0, false,
				VmRegistration.UNKNOWN, Resources.NONE, "", Set.of()));
		vm.registered = false;
		return vm;
	}

	List<VmCapacity> availableCapacities(Moment now) {
		List<VmCapacity> capacities = new ArrayList<>();
		for (VmState vm : this.vms.values()) {
			if (vm.acceptsTasks(now) && vm.fenced) {
				capacities.add(new VmCapacity(vm, now.monotonicMs()));
			}
		}
		return capacities;
	}

}
