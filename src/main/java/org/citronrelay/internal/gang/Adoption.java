package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.citronrelay.Shape;
import org.citronrelay.internal.gang.GangPhase.EndCause;
import org.citronrelay.internal.gang.JobRecord.Member;
import org.citronrelay.internal.gang.JobRecord.StoredState;
import org.citronrelay.internal.placement.Allocation;
import org.citronrelay.internal.placement.Fleet;
import org.citronrelay.internal.placement.Holding.HoldingKind;
import org.citronrelay.internal.placement.Placement;

/**
 * Adds to the state the jobs whose records are new to this holder: jobs that were just
 * accepted, and jobs that a previous holder has started.
 */
final class Adoption {

	private final DomainDraft draft;

	private final GangLifecycle lifecycle;

	Adoption(DomainDraft draft, GangLifecycle lifecycle) {
		this.draft = draft;
		this.lifecycle = lifecycle;
	}

	/**
	 * Adds a job in the phase that follows from its stored state. Jobs that have ended
	 * are ignored. The gang of an assigned job counts as running until a worker reports
	 * something else or a member is not seen in time.
	 * @param record the stored record
	 * @param revision the revision of the stored record
	 */
	void adopt(JobRecord record, long revision) {
		if (record.state().terminal()) {
			return;
		}
		Job job = Job.queued(record, revision, this.draft.now());
		if (record.state() == StoredState.QUEUED) {
			this.draft.put(job);
		}
		else if (record.members().isEmpty()) {
			this.lifecycle.termination().closeCancelled(job);
		}
		else {
			adoptAssigned(job, record);
		}
	}

	private void adoptAssigned(Job job, JobRecord record) {
		Placement placement = placementOf(record);
		if (placement.allocations().size() < record.members().size()) {
			this.lifecycle.termination().close(job, recordAfterLoss(record));
			return;
		}
		this.draft.allocate(job, placement);
		this.draft.requestReplan();
		Map<Integer, Long> lastSeenAt = new HashMap<>();
		for (int member = 0; member < placement.allocations().size(); member++) {
			lastSeenAt.put(member, this.draft.now());
		}
		Job running = job.withPhase(new GangPhase.Running(placement, this.draft.now(), lastSeenAt, Map.of()));
		this.draft.put(running);
		if (record.state() == StoredState.CANCELLING) {
			this.lifecycle.termination().end(running, placement, new EndCause.Cancelled());
		}
		else {
			this.lifecycle.sendStarts(running, placement);
		}
	}

	/**
	 * Returns the next record of an assigned job of which at least one VM is no longer
	 * known: cancelled, queued again if the job may be started again, otherwise unknown.
	 */
	private static JobRecord recordAfterLoss(JobRecord record) {
		if (record.state() == StoredState.CANCELLING) {
			return record.cancelled();
		}
		return record.mayStartAgain() ? record.requeued(record.savedMs())
				: record.withState(StoredState.UNKNOWN, "a VM of the job is no longer in the VM list");
	}

	/**
	 * Returns the placement that a record describes. Members on unknown VMs are left out.
	 */
	private Placement placementOf(JobRecord record) {
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
		return new Placement(allocations, HoldingKind.COMMON, Set.of());
	}

}
