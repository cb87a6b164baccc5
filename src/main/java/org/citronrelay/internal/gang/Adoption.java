package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * Taking on jobs that another holder has started or that were just accepted.
 */
final class Adoption {

	private final DomainDraft draft;

	private final GangSteps steps;

	Adoption(DomainDraft draft, GangSteps steps) {
		this.draft = draft;
		this.steps = steps;
	}

	/**
	 * Takes on a job. One that is assigned counts as running until its workers say
	 * otherwise.
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
			this.steps.ends().closeCancelled(job);
		}
		else {
			adoptAssigned(job, record);
		}
	}

	private void adoptAssigned(Job job, JobRecord record) {
		Choice choice = choiceOf(record);
		if (choice.allocations().size() < record.members().size()) {
			this.steps.ends().close(job, lostRecord(record));
			return;
		}
		this.draft.hold(job, choice);
		this.draft.planAgain();
		Map<Integer, Long> seenAt = new HashMap<>();
		for (int member = 0; member < choice.allocations().size(); member++) {
			seenAt.put(member, this.draft.now());
		}
		Job running = job.in(new JobPhase.Running(choice, this.draft.now(), seenAt, Map.of()));
		this.draft.put(running);
		if (record.state() == StoredState.CANCELLING) {
			this.steps.ends().end(running, choice, new EndCause.Cancelled());
		}
		else {
			this.steps.startAgain(running, choice);
		}
	}

	/**
	 * The record of a job whose VMs are not in the list any more.
	 */
	private static JobRecord lostRecord(JobRecord record) {
		if (record.state() == StoredState.CANCELLING) {
			return record.cancelled();
		}
		return record.mayStartAgain() ? record.queuedAgain(record.savedMs())
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

}
