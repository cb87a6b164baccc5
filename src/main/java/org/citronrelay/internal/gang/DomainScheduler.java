package org.citronrelay.internal.gang;

import java.util.List;

import org.citronrelay.internal.gang.GangPhase.EndCause;
import org.citronrelay.internal.gang.JobRecord.StoredState;

/**
 * Schedules the jobs of one failure domain. A decision depends on its arguments only: it
 * reads no clock and performs no input or output.
 *
 * <pre>
 * Decision decision = DomainScheduler.decide(state, List.of(event), now);
 * </pre>
 */
public final class DomainScheduler {

	private final DomainDraft draft;

	private final GangLifecycle lifecycle;

	private final LeaseRenewals renewals;

	private DomainScheduler(DomainState state, long now) {
		this.draft = new DomainDraft(state, now);
		this.lifecycle = new GangLifecycle(this.draft);
		this.renewals = new LeaseRenewals(this.draft, this.lifecycle);
	}

	/**
	 * Applies events to a state and returns the next state with the actions to perform.
	 * @param state the state before the events
	 * @param events the events, in the order in which they are applied
	 * @param now the present time in monotonic milliseconds
	 */
	public static Decision decide(DomainState state, List<DomainEvent> events, long now) {
		DomainScheduler scheduler = new DomainScheduler(state, now);
		events.forEach(scheduler::handle);
		scheduler.draft.replanIfStale();
		QueuePass pass = new QueuePass(scheduler.draft, scheduler.lifecycle);
		if (scheduler.draft.fullPassNeeded()) {
			pass.tryAll();
		}
		else if (!scheduler.draft.newlyQueued().isEmpty()) {
			pass.tryNewlyQueued();
		}
		return scheduler.draft.decision();
	}

	private void handle(DomainEvent event) {
		switch (event) {
			case DomainEvent.RecordSeen seen -> recordSeen(seen.record(), seen.revision());
			case DomainEvent.VmListRead read -> this.draft.vmList(read.vms());
			case DomainEvent.CatalogueApplied applied -> this.draft.catalogue(applied.catalogue());
			case DomainEvent.CommandCompleted completed -> this.draft.job(completed.command().member().task().job())
				.forEach((job) -> this.lifecycle.commandCompleted(job, completed.command(), completed.result()));
			case DomainEvent.RenewalCompleted completed ->
				this.renewals.renewalCompleted(completed.vm(), completed.sentAt(), completed.result());
			case DomainEvent.StoreCompleted completed -> this.draft.job(completed.record().id())
				.forEach((job) -> this.lifecycle.storeCompleted(job, completed.record(), completed.result()));
			case DomainEvent.Tick _ -> tick();
		}
	}

	/**
	 * Adds a job that is not known yet, or applies a newer record of a known job. Records
	 * that a holder with a newer epoch has written are ignored.
	 */
	private void recordSeen(JobRecord record, long revision) {
		if (record.epoch() > this.draft.epoch()) {
			return;
		}
		Job known = this.draft.job(record.id()).getOrElse((Job) null);
		if (known == null) {
			this.lifecycle.adopt(record, revision);
		}
		else if (revision > known.revision()) {
			recordChanged(known.withRecord(record, revision), known);
		}
	}

	/**
	 * Applies a newer record of a known job. The only change made outside this holder
	 * that matters here is a cancellation by the caller.
	 */
	private void recordChanged(Job newer, Job known) {
		this.draft.put(newer);
		StoredState state = newer.record().state();
		if (state != StoredState.CANCELLING) {
			return;
		}
		switch (known.phase()) {
			case GangPhase.Queued _ -> this.lifecycle.termination().closeCancelled(newer);
			case GangPhase.Reclaiming reclaiming -> {
				this.draft.release(newer, reclaiming.placement());
				this.lifecycle.termination().closeCancelled(newer);
				this.lifecycle.releaseWaiters(newer.id());
			}
			case GangPhase.Ending _, GangPhase.Closing _ -> {
			}
			case GangPhase.Allocated allocated ->
				this.lifecycle.termination().end(newer, allocated.placement(), new EndCause.Cancelled());
		}
	}

	private void tick() {
		this.renewals.sendDue();
		this.renewals.endLostGangs();
		for (Job job : this.draft.jobs()) {
			checkDeadline(job);
		}
		this.draft.refreshUsable();
		if (this.draft.jobs().stream().anyMatch((job) -> job.phase() instanceof GangPhase.Queued)) {
			this.draft.requestFullPass();
		}
	}

	/**
	 * Ends an attempt whose members were not reserved or started in time. Retries end
	 * commands and the storing of a job's next record.
	 */
	private void checkDeadline(Job job) {
		long now = this.draft.now();
		switch (job.phase()) {
			case GangPhase.Reserving reserving when now >= reserving.deadline() -> this.lifecycle.termination()
				.end(job, reserving.placement(),
						new EndCause.NotStarted("not all members were reserved within the time limit"));
			case GangPhase.Starting starting when now >= starting.deadline() -> this.lifecycle.termination()
				.end(job, starting.placement(),
						new EndCause.Lost("not all members were started within the time limit"));
			case GangPhase.Ending ending -> this.lifecycle.termination().retryEnd(job, ending);
			case GangPhase.Closing closing when now >= closing.retryAt() ->
				this.lifecycle.termination().close(job, closing.nextRecord());
			default -> {
			}
		}
	}

}
