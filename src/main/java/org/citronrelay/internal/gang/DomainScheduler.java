package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.citronrelay.Shape;
import org.citronrelay.internal.gang.JobPhase.EndCause;
import org.citronrelay.internal.gang.JobRecord.Member;
import org.citronrelay.internal.gang.JobRecord.StoredState;
import org.citronrelay.internal.placement.Allocation;
import org.citronrelay.internal.placement.Choice;
import org.citronrelay.internal.placement.Fleet;
import org.citronrelay.internal.placement.Holding.Tenure;

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
		if (scheduler.draft.roomChanged()) {
			new QueuePass(scheduler.draft, scheduler.steps).run();
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
		Job known = this.draft.job(record.id()).getOrElse((Job) null);
		if (known == null) {
			adopt(record, revision);
		}
		else if (revision > known.revision()) {
			changed(known.stored(record, revision), known);
		}
	}

	/**
	 * Takes on a job that this holder does not know. One that is assigned counts as
	 * running until its workers say otherwise.
	 */
	private void adopt(JobRecord record, long revision) {
		if (record.state().terminal()) {
			return;
		}
		long now = this.draft.now();
		Job job = Job.queued(record, revision, now);
		if (record.state() == StoredState.QUEUED) {
			this.draft.put(job);
			return;
		}
		Choice choice = choiceOf(record);
		if (choice.allocations().size() < record.members().size()) {
			this.steps.close(job, lostRecord(record));
			return;
		}
		this.draft.hold(job, choice);
		java.util.Map<Integer, Long> seenAt = new java.util.HashMap<>();
		for (int member = 0; member < choice.allocations().size(); member++) {
			seenAt.put(member, now);
		}
		JobPhase.Running running = new JobPhase.Running(choice, now, seenAt, java.util.Map.of());
		this.draft.put(job.in(running));
		if (record.state() == StoredState.CANCELLING) {
			this.steps.end(job.in(running), choice, new EndCause.Cancelled());
		}
		else {
			this.steps.startAgain(job, choice);
		}
	}

	/**
	 * The record of a job whose VMs are not in the list any more.
	 */
	private static JobRecord lostRecord(JobRecord record) {
		boolean again = record.owner().idempotent() && record.starts() < record.owner().attempts()
				&& record.state() == StoredState.ASSIGNED;
		if (again) {
			return record.queuedAgain(record.savedMs());
		}
		return (record.state() == StoredState.CANCELLING)
				? record.ended(StoredState.CANCELLED, "cancelled by the caller")
				: record.ended(StoredState.UNKNOWN, "its VMs are gone");
	}

	private Choice choiceOf(JobRecord record) {
		Fleet fleet = this.draft.fleet();
		Shape shape = record.spec().shape();
		List<Allocation> allocations = new ArrayList<>();
		for (Member member : record.members()) {
			int index = fleet.indexOf(member.vm());
			if (index >= 0) {
				allocations.add(new Allocation(index, member.firstAccelerator(), shape.accelerators(), shape.cores(),
						shape.memoryGb()));
			}
		}
		return new Choice(allocations, Tenure.COMMON, Set.of());
	}

	/**
	 * Takes a newer record of a known job: its caller may have cancelled it.
	 */
	private void changed(Job newer, Job known) {
		this.draft.put(newer);
		StoredState state = newer.record().state();
		boolean cancelled = state == StoredState.CANCELLED || state == StoredState.CANCELLING;
		if (!cancelled) {
			return;
		}
		switch (known.phase()) {
			case JobPhase.Queued _ -> this.draft.remove(newer.id());
			case JobPhase.Reclaiming reclaiming -> {
				this.draft.release(newer, reclaiming.choice());
				this.draft.remove(newer.id());
			}
			case JobPhase.Ending _, JobPhase.Closing _ -> {
			}
			case JobPhase.Holding holding -> this.steps.end(newer, holding.choice(), new EndCause.Cancelled());
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
				this.steps.end(job, reserving.choice(), new EndCause.NotStarted("reserving took too long"));
			case JobPhase.Starting starting when now >= starting.deadline() ->
				this.steps.end(job, starting.choice(), new EndCause.Lost("starting took too long"));
			case JobPhase.Ending ending -> this.steps.endAgain(job, ending);
			case JobPhase.Closing closing when now >= closing.retryAt() -> this.steps.close(job, closing.last());
			default -> {
			}
		}
	}

}
