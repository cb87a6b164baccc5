package org.citronrelay.internal.gang;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import org.citronrelay.Reclaim;
import org.citronrelay.internal.placement.PlacementRequest;

/**
 * A job that has not ended, in the state of its holder.
 *
 * @param record the stored record, or the one that could not be stored because the
 * key-value service was unavailable
 * @param revision the revision of the stored record
 * @param phase the phase of the job
 * @param knownSince when this holder first received the record, in monotonic milliseconds
 * @param lastAttempt the number of the latest attempt, whether stored or not
 * @param avoidedVms the ids of the VMs on which the job failed; this holder does not
 * place it there again
 */
record Job(JobRecord record, long revision, GangPhase phase, long knownSince, int lastAttempt, Set<String> avoidedVms) {

	Job {
		Objects.requireNonNull(record, "record");
		Objects.requireNonNull(phase, "phase");
		avoidedVms = Set.copyOf(avoidedVms);
	}

	static Job queued(JobRecord record, long revision, long now) {
		return new Job(record, revision, new GangPhase.Queued(now), now, record.attempt(), Set.of());
	}

	Job withPhase(GangPhase newPhase) {
		return new Job(this.record, this.revision, newPhase, this.knownSince, this.lastAttempt, this.avoidedVms);
	}

	Job withRecord(JobRecord newRecord, long newRevision) {
		return new Job(newRecord, newRevision, this.phase, this.knownSince,
				Math.max(this.lastAttempt, newRecord.attempt()), this.avoidedVms);
	}

	Job nextAttempt() {
		return new Job(this.record, this.revision, this.phase, this.knownSince, this.lastAttempt + 1, this.avoidedVms);
	}

	Job avoiding(String vm) {
		Set<String> newAvoidedVms = new HashSet<>(this.avoidedVms);
		newAvoidedVms.add(vm);
		return new Job(this.record, this.revision, this.phase, this.knownSince, this.lastAttempt, newAvoidedVms);
	}

	PlacementRequest placementRequest() {
		boolean reclaimable = this.record.owner().reclaim() != Reclaim.NEVER;
		return new PlacementRequest(this.record.id(), this.record.owner().teamId(), this.record.spec().shape(),
				reclaimable, this.record.owner().urgent());
	}

	String id() {
		return this.record.id();
	}

}
