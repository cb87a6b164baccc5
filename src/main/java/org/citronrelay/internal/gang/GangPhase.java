package org.citronrelay.internal.gang;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.citronrelay.internal.placement.Placement;

/**
 * The phase of a job in the state of its holder, with the data that only this phase
 * needs. The phase is not stored; {@link JobRecord.StoredState} is the stored state.
 */
sealed interface GangPhase {

	/**
	 * The job waits in the queue for capacity.
	 *
	 * @param notBefore the earliest time at which the job may be placed, in monotonic
	 * milliseconds
	 */
	record Queued(long notBefore) implements GangPhase {
	}

	/**
	 * A phase in which the job has a placement whose capacity it holds or waits for.
	 */
	sealed interface Allocated extends GangPhase {

		/**
		 * Returns where the members run or are going to run.
		 */
		Placement placement();

	}

	/**
	 * The job waits until other jobs have freed the capacity of its placement.
	 *
	 * @param placement where the members run or are going to run
	 * @param victims the ids of the jobs that still hold this capacity
	 */
	record Reclaiming(Placement placement, Set<String> victims) implements Allocated {

		public Reclaiming {
			Objects.requireNonNull(placement, "placement");
			victims = Set.copyOf(victims);
		}

	}

	/**
	 * The members are being reserved on their workers.
	 *
	 * @param placement where the members run or are going to run
	 * @param reserved the numbers of the members that are reserved
	 * @param deadline when the attempt is given up, in monotonic milliseconds
	 */
	record Reserving(Placement placement, Set<Integer> reserved, long deadline) implements Allocated {

		public Reserving {
			Objects.requireNonNull(placement, "placement");
			reserved = Set.copyOf(reserved);
		}

	}

	/**
	 * All members are reserved, and the record of the attempt is being stored.
	 *
	 * @param placement where the members run or are going to run
	 */
	record Recording(Placement placement) implements Allocated {
	}

	/**
	 * The members are being started.
	 *
	 * @param placement where the members run or are going to run
	 * @param started the numbers of the members that are started
	 * @param deadline when the attempt is given up, in monotonic milliseconds
	 */
	record Starting(Placement placement, Set<Integer> started, long deadline) implements Allocated {

		public Starting {
			started = Set.copyOf(started);
		}

	}

	/**
	 * All members have started.
	 *
	 * @param placement where the members run or are going to run
	 * @param startedAt when all members had started, in monotonic milliseconds
	 * @param lastSeenAt when each member was last reported as running, in monotonic
	 * milliseconds
	 * @param answers the answers of the members that have finished, by member number
	 */
	record Running(Placement placement, long startedAt, Map<Integer, Long> lastSeenAt,
			Map<Integer, String> answers) implements Allocated {

		public Running {
			lastSeenAt = Map.copyOf(lastSeenAt);
			answers = Map.copyOf(answers);
		}

		/**
		 * Whether each member has finished or was last seen at a time or later.
		 * @param time the time in monotonic milliseconds
		 */
		boolean allSeenSince(long time) {
			return this.lastSeenAt.entrySet()
				.stream()
				.allMatch((seen) -> this.answers.containsKey(seen.getKey()) || seen.getValue() >= time);
		}

	}

	/**
	 * The members are being ended.
	 *
	 * @param placement where the members run or are going to run
	 * @param cause why the members are ended
	 * @param checkpoint whether the members save a checkpoint first
	 * @param notEnded the numbers of the members whose end is not confirmed
	 * @param savedMs the least progress that any ended member has saved, in milliseconds;
	 * {@code Long.MAX_VALUE} if no member has ended yet
	 * @param checkpointDeadline when the members are stopped even if a checkpoint is not
	 * saved, in monotonic milliseconds
	 * @param leasesExpiredAt when the leases of all members have expired, whether or not
	 * the workers answer, in monotonic milliseconds
	 */
	record Ending(Placement placement, EndCause cause, boolean checkpoint, Set<Integer> notEnded, long savedMs,
			long checkpointDeadline, long leasesExpiredAt) implements Allocated {

		public Ending {
			Objects.requireNonNull(cause, "cause");
			notEnded = Set.copyOf(notEnded);
		}

	}

	/**
	 * All members have ended, and the next record of the job is being stored.
	 *
	 * @param nextRecord the final record, or the one with which the job is queued again
	 * @param retryAt when storing is tried again, in monotonic milliseconds
	 */
	record Closing(JobRecord nextRecord, long retryAt) implements GangPhase {
	}

	/**
	 * Why the members of a job are ended.
	 */
	sealed interface EndCause {

		/**
		 * The caller cancelled the job.
		 */
		record Cancelled() implements EndCause {
		}

		/**
		 * Another job needs the capacity.
		 */
		record Reclaimed() implements EndCause {
		}

		/**
		 * The attempt did not start, and no member ran.
		 *
		 * @param reason the failure, as text for the record
		 */
		record NotStarted(String reason) implements EndCause {
		}

		/**
		 * Another holder has started the job, and no member of this attempt ran.
		 *
		 * @param record the record that the other holder has stored
		 * @param revision the revision of that record
		 */
		record Superseded(JobRecord record, long revision) implements EndCause {
		}

		/**
		 * A member was lost, and some members may have run.
		 *
		 * @param reason the failure, as text for the record
		 */
		record Lost(String reason) implements EndCause {
		}

		/**
		 * A member failed.
		 *
		 * @param vm the VM of the member
		 */
		record Failed(String vm) implements EndCause {
		}

	}

}
