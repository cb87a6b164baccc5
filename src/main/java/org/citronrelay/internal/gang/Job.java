package org.citronrelay.internal.gang;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import org.citronrelay.Reclaim;
import org.citronrelay.internal.placement.Ask;

/**
 * A job as its holder knows it.
 *
 * @param record what is stored of it
 * @param revision the revision of the stored record
 * @param phase how far it is
 * @param acceptedAt since when the holder knows it, in monotonic milliseconds
 * @param lastAttempt the number of the latest attempt, stored or not
 * @param avoid the VMs on which it failed
 */
record Job(JobRecord record, long revision, JobPhase phase, long acceptedAt, int lastAttempt, Set<String> avoid) {

	Job {
		Objects.requireNonNull(record, "record");
		Objects.requireNonNull(phase, "phase");
		avoid = Set.copyOf(avoid);
	}

	static Job queued(JobRecord record, long revision, long now) {
		return new Job(record, revision, new JobPhase.Queued(now), now, record.attempt(), Set.of());
	}

	Job in(JobPhase newPhase) {
		return new Job(this.record, this.revision, newPhase, this.acceptedAt, this.lastAttempt, this.avoid);
	}

	Job stored(JobRecord newRecord, long newRevision) {
		return new Job(newRecord, newRevision, this.phase, this.acceptedAt,
				Math.max(this.lastAttempt, newRecord.attempt()), this.avoid);
	}

	Job nextAttempt() {
		return new Job(this.record, this.revision, this.phase, this.acceptedAt, this.lastAttempt + 1, this.avoid);
	}

	Job avoiding(String vm) {
		Set<String> more = new HashSet<>(this.avoid);
		more.add(vm);
		return new Job(this.record, this.revision, this.phase, this.acceptedAt, this.lastAttempt, more);
	}

	Ask ask() {
		boolean reclaimable = this.record.owner().reclaim() != Reclaim.NEVER;
		return new Ask(this.record.id(), this.record.owner().teamId(), this.record.spec().shape(), reclaimable,
				this.record.owner().urgent());
	}

	String id() {
		return this.record.id();
	}

}
