package org.citronrelay.internal.gang;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.citronrelay.internal.placement.Choice;

/**
 * How far a job is, as its holder sees it.
 */
sealed interface JobPhase {

	/**
	 * Waits for room.
	 *
	 * @param notBefore when it may be tried again, in monotonic milliseconds
	 */
	record Queued(long notBefore) implements JobPhase {
	}

	/**
	 * A phase in which the job holds room.
	 */
	sealed interface Holding extends JobPhase {

		/**
		 * Where it runs or is going to run.
		 */
		Choice choice();

	}

	/**
	 * Waits for others to give its room back.
	 *
	 * @param choice where
	 * @param victims the jobs that still hold it
	 */
	record Reclaiming(Choice choice, Set<String> victims) implements Holding {

		public Reclaiming {
			Objects.requireNonNull(choice, "choice");
			victims = Set.copyOf(victims);
		}

	}

	/**
	 * Reserves its members.
	 *
	 * @param choice where
	 * @param reserved the members that are reserved
	 * @param deadline when it gives up, in monotonic milliseconds
	 */
	record Reserving(Choice choice, Set<Integer> reserved, long deadline) implements Holding {

		public Reserving {
			Objects.requireNonNull(choice, "choice");
			reserved = Set.copyOf(reserved);
		}

	}

	/**
	 * All members are reserved; the record of the attempt is being stored.
	 *
	 * @param choice where
	 */
	record Recording(Choice choice) implements Holding {
	}

	/**
	 * Starts its members.
	 *
	 * @param choice where
	 * @param started the members that are started
	 * @param deadline when it gives up, in monotonic milliseconds
	 */
	record Starting(Choice choice, Set<Integer> started, long deadline) implements Holding {

		public Starting {
			started = Set.copyOf(started);
		}

	}

	/**
	 * Runs.
	 *
	 * @param choice where
	 * @param startedAt since when, in monotonic milliseconds
	 * @param seenAt when each member was seen last, in monotonic milliseconds
	 * @param answers the answers of the members that have finished
	 */
	record Running(Choice choice, long startedAt, Map<Integer, Long> seenAt,
			Map<Integer, String> answers) implements Holding {

		public Running {
			seenAt = Map.copyOf(seenAt);
			answers = Map.copyOf(answers);
		}

		/**
		 * Whether each member was seen or has finished since a time.
		 */
		boolean wholeSince(long time) {
			return this.seenAt.entrySet()
				.stream()
				.allMatch((seen) -> this.answers.containsKey(seen.getKey()) || seen.getValue() >= time);
		}

	}

	/**
	 * Ends its members.
	 *
	 * @param choice where
	 * @param cause why
	 * @param checkpoint whether progress is saved first
	 * @param open the members that are not known to have ended
	 * @param savedMs the progress that all members have saved, in milliseconds
	 * @param checkpointUntil until when a checkpoint may take, in monotonic milliseconds
	 * @param lapsedAt when all leases have surely lapsed, in monotonic milliseconds
	 */
	record Ending(Choice choice, EndCause cause, boolean checkpoint, Set<Integer> open, long savedMs,
			long checkpointUntil, long lapsedAt) implements Holding {

		public Ending {
			Objects.requireNonNull(cause, "cause");
			open = Set.copyOf(open);
		}

	}

	/**
	 * Has ended; its last record is being stored.
	 *
	 * @param last the record
	 * @param retryAt when it is stored again if that failed, in monotonic milliseconds
	 */
	record Closing(JobRecord last, long retryAt) implements JobPhase {
	}

	/**
	 * Why a job's members are ended.
	 */
	sealed interface EndCause {

		/**
		 * Its caller cancelled it.
		 */
		record Cancelled() implements EndCause {
		}

		/**
		 * Another job needs its room.
		 */
		record Reclaimed() implements EndCause {
		}

		/**
		 * It could not start; no member ran.
		 *
		 * @param reason what was seen
		 */
		record NotStarted(String reason) implements EndCause {
		}

		/**
		 * Another holder has started it; no member of this attempt ran.
		 *
		 * @param record what the other holder has stored
		 * @param revision the revision of that
		 */
		record Superseded(JobRecord record, long revision) implements EndCause {
		}

		/**
		 * A member was lost; some members may have run.
		 *
		 * @param reason what was seen
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
