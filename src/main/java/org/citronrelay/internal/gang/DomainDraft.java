package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;

import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.internal.gang.DomainEffect.MemberRef;
import org.citronrelay.internal.gang.DomainState.BackfillReservation;
import org.citronrelay.internal.placement.Fleet;
import org.citronrelay.internal.placement.GuaranteePlan;
import org.citronrelay.internal.placement.GuaranteePlanner;
import org.citronrelay.internal.placement.Placement;
import org.citronrelay.internal.platform.Vm;

/**
 * Mutable working copy of a {@link DomainState}, used within one decision only. It also
 * collects the effects of the decision.
 */
final class DomainDraft {

	private final DomainState initial;

	private final long now;

	private final List<DomainEffect> effects = new ArrayList<>();

	private Catalogue catalogue;

	private Fleet fleet;

	private GuaranteePlan plan;

	private Map<String, Job> jobs;

	private Option<BackfillReservation> backfillReservation;

	private Set<String> unreachable;

	private VmFailures failures;

	private RunTimeEstimates estimates;

	private long nextRenewAt;

	private boolean fullPassNeeded;

	private final java.util.Set<String> newlyQueued = new HashSet<>();

	private boolean planStale;

	DomainDraft(DomainState initial, long now) {
		this.initial = initial;
		this.now = now;
		this.catalogue = initial.catalogue();
		this.fleet = initial.fleet();
		this.plan = initial.plan();
		this.jobs = initial.jobs();
		this.backfillReservation = initial.backfillReservation();
		this.unreachable = initial.unreachable();
		this.failures = initial.failures();
		this.estimates = initial.estimates();
		this.nextRenewAt = initial.nextRenewAt();
	}

	Decision decision() {
		DomainState after = new DomainState(this.initial.failureDomain(), this.initial.epoch(), this.initial.timings(),
				this.catalogue, this.fleet, this.plan, this.jobs, this.backfillReservation, this.unreachable,
				this.failures, this.estimates, this.nextRenewAt);
		return new Decision(after, this.effects);
	}

	long now() {
		return this.now;
	}

	long epoch() {
		return this.initial.epoch();
	}

	DomainTimings timings() {
		return this.initial.timings();
	}

	Catalogue catalogue() {
		return this.catalogue;
	}

	Fleet fleet() {
		return this.fleet;
	}

	GuaranteePlan plan() {
		return this.plan;
	}

	RunTimeEstimates estimates() {
		return this.estimates;
	}

	VmFailures failures() {
		return this.failures;
	}

	Option<BackfillReservation> backfillReservation() {
		return this.backfillReservation;
	}

	Set<String> unreachable() {
		return this.unreachable;
	}

	long nextRenewAt() {
		return this.nextRenewAt;
	}

	void nextRenewAt(long at) {
		this.nextRenewAt = at;
	}

	/**
	 * Whether queued jobs that found no capacity in earlier decisions may find some now.
	 */
	boolean fullPassNeeded() {
		return this.fullPassNeeded;
	}

	/**
	 * Returns the ids of the jobs that were queued in this decision.
	 */
	java.util.Set<String> newlyQueued() {
		return java.util.Set.copyOf(this.newlyQueued);
	}

	void emit(DomainEffect effect) {
		this.effects.add(effect);
	}

	Option<Job> job(String id) {
		return this.jobs.get(id);
	}

	List<Job> jobs() {
		return this.jobs.values().toJavaList();
	}

	void put(Job job) {
		this.jobs = this.jobs.put(job.id(), job);
		if (job.phase() instanceof GangPhase.Queued) {
			this.newlyQueued.add(job.id());
		}
	}

	void remove(String id) {
		this.jobs = this.jobs.remove(id);
		if (this.backfillReservation.exists((reservation) -> reservation.job().equals(id))) {
			backfillReservation(Option.none());
		}
	}

	/**
	 * Marks the accelerators, cores and memory of a placement as held by a job.
	 */
	void allocate(Job job, Placement placement) {
		this.fleet = this.fleet.withHoldings(placement.holdings(job.placementRequest()));
	}

	/**
	 * Frees what a job holds at a placement.
	 */
	void release(Job job, Placement placement) {
		this.fleet = this.fleet.withoutJob(job.id(), placement.allocations());
		this.fullPassNeeded = true;
	}

	void backfillReservation(Option<BackfillReservation> newReservation) {
		this.backfillReservation = newReservation;
		this.fleet = this.fleet
			.withBackfillReservation(newReservation.map(BackfillReservation::allocations).getOrElse(List.of()));
		this.fullPassNeeded = true;
	}

	void estimates(RunTimeEstimates newEstimates) {
		this.estimates = newEstimates;
	}

	void failures(VmFailures newFailures) {
		this.failures = newFailures;
	}

	void catalogue(Catalogue newCatalogue) {
		this.catalogue = newCatalogue;
		this.planStale = true;
	}

	/**
	 * Applies a new VM list. A VM that was not known counts as unreachable until it has
	 * answered a call with the epoch of this holder.
	 */
	void vmList(List<Vm> vms) {
		for (Vm vm : vms) {
			if (this.fleet.indexOf(vm.id()) < 0) {
				this.unreachable = this.unreachable.add(vm.id());
				this.nextRenewAt = this.now;
			}
		}
		this.fleet = this.fleet.withVms(vms);
		this.planStale = true;
		refreshUsable();
	}

	void markReachable(String vm, boolean answered) {
		Set<String> next = answered ? this.unreachable.remove(vm) : this.unreachable.add(vm);
		if (next.size() != this.unreachable.size()) {
			this.unreachable = next;
			refreshUsable();
		}
	}

	/**
	 * Recomputes which VMs accept new members: those that are in the VM list, are not
	 * shutting down, have answered the last call and are not quarantined. While a
	 * guarantee is not fully covered, the guarantees are also planned again.
	 */
	void refreshUsable() {
		this.planStale |= !this.plan.shortfalls().isEmpty();
		for (int index = 0; index < this.fleet.size(); index++) {
			Vm vm = this.fleet.vm(index).vm();
			boolean usable = this.fleet.listed(index) && !vm.draining() && !this.unreachable.contains(vm.id())
					&& !this.failures.quarantined(vm.id(), this.now);
			if (usable != this.fleet.vm(index).usable()) {
				this.fleet = this.fleet.withUsable(index, usable);
				this.planStale = true;
			}
		}
	}

	/**
	 * Requests that the guarantees are planned again at the end of the decision.
	 */
	void requestReplan() {
		this.planStale = true;
	}

	/**
	 * Requests a pass over the whole queue at the end of the decision.
	 */
	void requestFullPass() {
		this.fullPassNeeded = true;
	}

	/**
	 * Plans the guarantees without regard to the present blocks, so that blocks that
	 * prevent the placement of a large job are moved together. The new plan is used only
	 * if it covers every guarantee.
	 */
	void replanFromScratch() {
		GuaranteePlan newPlan = GuaranteePlanner.planFromScratch(this.fleet,
				GuaranteePlanner.guaranteedShapes(this.catalogue, this.initial.failureDomain()));
		if (newPlan.shortfalls().isEmpty()) {
			this.plan = newPlan;
			this.fleet = this.fleet.withBlocks(newPlan.blocks());
		}
	}

	MemberRef memberRef(String job, int attempt, int member, Placement placement) {
		Vm vm = this.fleet.vm(placement.allocations().get(member).vm()).vm();
		return new MemberRef(new MemberTaskId(job, attempt, member, placement.allocations().size()), vm.id(),
				vm.address());
	}

	/**
	 * Plans the guarantees again if the fleet or the catalogue has changed or
	 * {@link #requestReplan} was called.
	 */
	void replanIfStale() {
		if (!this.planStale) {
			return;
		}
		this.planStale = false;
		GuaranteePlan next = GuaranteePlanner.plan(this.fleet, this.plan,
				GuaranteePlanner.guaranteedShapes(this.catalogue, this.initial.failureDomain()));
		this.plan = next;
		this.fleet = this.fleet.withBlocks(next.blocks());
		this.fullPassNeeded = true;
	}

}
