package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;

import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.internal.gang.DomainState.KeptRoom;
import org.citronrelay.internal.gang.Effect.MemberRef;
import org.citronrelay.internal.placement.Choice;
import org.citronrelay.internal.placement.Fleet;
import org.citronrelay.internal.placement.GuaranteePlan;
import org.citronrelay.internal.placement.GuaranteePlanner;
import org.citronrelay.internal.platform.Vm;

/**
 * The state while a decision is being made: a working copy that never leaves the
 * decision.
 */
final class DomainDraft {

	private final DomainState before;

	private final long now;

	private final List<Effect> effects = new ArrayList<>();

	private Catalogue catalogue;

	private Fleet fleet;

	private GuaranteePlan plan;

	private Map<String, Job> jobs;

	private Option<KeptRoom> kept;

	private Set<String> unreachable;

	private VmFailures failures;

	private Estimates estimates;

	private long nextRenewAt;

	private boolean roomFreed;

	private final java.util.Set<String> arrived = new HashSet<>();

	private boolean planStale;

	DomainDraft(DomainState before, long now) {
		this.before = before;
		this.now = now;
		this.catalogue = before.catalogue();
		this.fleet = before.fleet();
		this.plan = before.plan();
		this.jobs = before.jobs();
		this.kept = before.kept();
		this.unreachable = before.unreachable();
		this.failures = before.failures();
		this.estimates = before.estimates();
		this.nextRenewAt = before.nextRenewAt();
	}

	Decision decision() {
		DomainState after = new DomainState(this.before.failureDomain(), this.before.epoch(), this.before.timings(),
				this.catalogue, this.fleet, this.plan, this.jobs, this.kept, this.unreachable, this.failures,
				this.estimates, this.nextRenewAt);
		return new Decision(after, this.effects);
	}

	long now() {
		return this.now;
	}

	long epoch() {
		return this.before.epoch();
	}

	DomainTimings timings() {
		return this.before.timings();
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

	Estimates estimates() {
		return this.estimates;
	}

	VmFailures failures() {
		return this.failures;
	}

	Option<KeptRoom> kept() {
		return this.kept;
	}

	Set<String> unreachable() {
		return this.unreachable;
	}

	long nextRenewAt() {
		return this.nextRenewAt;
	}

	void renewedNext(long at) {
		this.nextRenewAt = at;
	}

	/**
	 * Whether jobs that wait may find room that they did not find before.
	 */
	boolean roomFreed() {
		return this.roomFreed;
	}

	/**
	 * The jobs that have begun to wait in this decision.
	 */
	java.util.Set<String> arrived() {
		return java.util.Set.copyOf(this.arrived);
	}

	void emit(Effect effect) {
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
		if (job.phase() instanceof JobPhase.Queued) {
			this.arrived.add(job.id());
		}
	}

	void remove(String id) {
		this.jobs = this.jobs.remove(id);
		if (this.kept.exists((room) -> room.job().equals(id))) {
			keep(Option.none());
		}
	}

	void hold(Job job, Choice choice) {
		this.fleet = this.fleet.plus(choice.holdings(job.ask()));
	}

	void release(Job job, Choice choice) {
		this.fleet = this.fleet.minus(job.id(), choice.allocations());
		this.roomFreed = true;
	}

	void keep(Option<KeptRoom> room) {
		this.kept = room;
		this.fleet = this.fleet.withKept(room.map(KeptRoom::allocations).getOrElse(List.of()));
		this.roomFreed = true;
	}

	void learned(Estimates newEstimates) {
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
	 * Takes a new list. A VM that was not known counts as unreachable until it has
	 * answered under the present epoch.
	 */
	void vms(List<Vm> vms) {
		for (Vm vm : vms) {
			if (this.fleet.indexOf(vm.id()) < 0) {
				this.unreachable = this.unreachable.add(vm.id());
				this.nextRenewAt = this.now;
			}
		}
		this.fleet = this.fleet.withList(vms);
		this.planStale = true;
		refreshUsable();
	}

	void reachable(String vm, boolean answers) {
		Set<String> next = answers ? this.unreachable.remove(vm) : this.unreachable.add(vm);
		if (next.size() != this.unreachable.size()) {
			this.unreachable = next;
			refreshUsable();
		}
	}

	/**
	 * Opens and closes VMs to new work, by the list, by their answers and by what failed
	 * on them.
	 */
	void refreshUsable() {
		this.planStale |= !this.plan.shortfalls().isEmpty();
		for (int index = 0; index < this.fleet.size(); index++) {
			Vm vm = this.fleet.vm(index).vm();
			boolean usable = this.fleet.listed(index) && !vm.leaving() && !this.unreachable.contains(vm.id())
					&& !this.failures.apart(vm.id(), this.now);
			if (usable != this.fleet.vm(index).usable()) {
				this.fleet = this.fleet.withUsable(index, usable);
				this.planStale = true;
			}
		}
	}

	/**
	 * Asks for the guarantees to be planned anew at the end of the decision.
	 */
	void planAgain() {
		this.planStale = true;
	}

	/**
	 * Asks for a walk through the queue at the end of the decision.
	 */
	void tryQueue() {
		this.roomFreed = true;
	}

	/**
	 * Plans the guarantees from nothing where that leaves none short, so that blocks that
	 * stand in the way of a large job move together.
	 */
	void replanAnew() {
		GuaranteePlan anew = GuaranteePlanner.planAnew(this.fleet,
				GuaranteePlanner.wanted(this.catalogue, this.before.failureDomain()));
		if (anew.shortfalls().isEmpty()) {
			this.plan = anew;
			this.fleet = this.fleet.withBlocks(anew.blocks());
		}
	}

	MemberRef member(String job, int attempt, int number, Choice choice) {
		Vm vm = this.fleet.vm(choice.allocations().get(number).vm()).vm();
		return new MemberRef(new TaskId(job, attempt, number, choice.allocations().size()), vm.id(), vm.address());
	}

	/**
	 * Plans the guarantees anew if the fleet or the catalogue changed.
	 */
	void replan() {
		if (!this.planStale) {
			return;
		}
		this.planStale = false;
		GuaranteePlan next = GuaranteePlanner.plan(this.fleet, this.plan,
				GuaranteePlanner.wanted(this.catalogue, this.before.failureDomain()));
		this.plan = next;
		this.fleet = this.fleet.withBlocks(next.blocks());
		this.roomFreed = true;
	}

}
