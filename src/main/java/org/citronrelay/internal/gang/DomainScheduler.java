package org.citronrelay.internal.gang;

import java.util.List;

import org.citronrelay.internal.gang.JobPhase.EndCause;
import org.citronrelay.internal.gang.JobRecord.StoredState;

/**
 * Decides for the jobs of one failure domain.
 *
 * <pre>
 * Decision decision = DomainScheduler.decide(state, List.of(event), now);
 * </pre>
 */
public final class DomainScheduler {

	private final DomainDraft draft;

	private final GangSteps steps;

	private final Renewals renewals;

	private DomainScheduler(DomainState state, long now) {
		this.draft = new DomainDraft(state, now);
		this.steps = new GangSteps(this.draft);
		this.renewals = new Renewals(this.draft, this.steps);
	}

	/**
	 * The next state after some events, and what has to be done.
	 * @param now the present time in monotonic milliseconds
	 */
	public static Decision decide(DomainState state, List<DomainEvent> events, long now) {
		DomainScheduler scheduler = new DomainScheduler(state, now);
		events.forEach(scheduler::take);
		scheduler.draft.replan();
		QueuePass pass = new QueuePass(scheduler.draft, scheduler.steps);
		if (scheduler.draft.roomFreed()) {
			pass.all();
		}
		else if (!scheduler.draft.arrived().isEmpty()) {
			pass.arrived();
		}
		return scheduler.draft.decision();
	}

	private void take(DomainEvent event) {
		switch (event) {
			case DomainEvent.RecordSeen seen -> seen(seen.record(), seen.revision());
			case DomainEvent.FleetSeen fleet -> this.draft.vms(fleet.vms());
			case DomainEvent.CatalogueSeen catalogue -> this.draft.catalogue(catalogue.catalogue());
			case DomainEvent.Replied replied -> this.draft.job(replied.command().member().task().job())
				.forEach((job) -> this.steps.replied(job, replied.command(), replied.result()));
			case DomainEvent.Renewed renewed ->
				this.renewals.answered(renewed.vm(), renewed.sentAt(), renewed.result());
			case DomainEvent.Stored stored -> this.draft.job(stored.record().id())
				.forEach((job) -> this.steps.stored(job, stored.record(), stored.result()));
			case DomainEvent.Tick _ -> tick();
		}
	}

	private void seen(JobRecord record, long revision) {
		if (record.epoch() > this.draft.epoch()) {
			return;
		}
		Job known = this.draft.job(record.id()).getOrElse((Job) null);
		if (known == null) {
			this.steps.adopt(record, revision);
		}
		else if (revision > known.revision()) {
			changed(known.stored(record, revision), known);
		}
	}

	/**
	 * Takes a newer record of a known job: its caller may have cancelled it.
	 */
	private void changed(Job newer, Job known) {
		this.draft.put(newer);
		StoredState state = newer.record().state();
		if (state != StoredState.CANCELLING) {
			return;
		}
		switch (known.phase()) {
			case JobPhase.Queued _ -> this.steps.ends().closeCancelled(newer);
			case JobPhase.Reclaiming reclaiming -> {
				this.draft.release(newer, reclaiming.choice());
				this.steps.ends().closeCancelled(newer);
				this.steps.releaseWaiters(newer.id());
			}
			case JobPhase.Ending _, JobPhase.Closing _ -> {
			}
			case JobPhase.Holding holding -> this.steps.ends().end(newer, holding.choice(), new EndCause.Cancelled());
		}
	}

	private void tick() {
		this.renewals.send();
		this.renewals.giveUpLost();
		for (Job job : this.draft.jobs()) {
			overdue(job);
		}
		this.draft.refreshUsable();
		if (this.draft.jobs().stream().anyMatch((job) -> job.phase() instanceof JobPhase.Queued)) {
			this.draft.tryQueue();
		}
	}

	private void overdue(Job job) {
		long now = this.draft.now();
		switch (job.phase()) {
			case JobPhase.Reserving reserving when now >= reserving.deadline() ->
				this.steps.ends().end(job, reserving.choice(), new EndCause.NotStarted("reserving took too long"));
			case JobPhase.Starting starting when now >= starting.deadline() ->
				this.steps.ends().end(job, starting.choice(), new EndCause.Lost("starting took too long"));
			case JobPhase.Ending ending -> this.steps.ends().endAgain(job, ending);
			case JobPhase.Closing closing when now >= closing.retryAt() -> this.steps.ends().close(job, closing.last());
			default -> {
			}
		}
	}

}
