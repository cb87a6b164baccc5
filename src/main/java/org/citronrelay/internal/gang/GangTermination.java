package org.citronrelay.internal.gang;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.citronrelay.Reclaim;
import org.citronrelay.Shape;
import org.citronrelay.internal.gang.DomainEvent.StoreResult;
import org.citronrelay.internal.gang.GangPhase.EndCause;
import org.citronrelay.internal.gang.JobRecord.StoredState;
import org.citronrelay.internal.placement.Placement;
import org.citronrelay.internal.platform.WorkerTasks.EndMode;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.TaskState;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * Ends gangs: sends the end commands to all members, frees their resources and stores the
 * next record of the job. The resources are freed only when every member's end is
 * confirmed or the leases of all members have expired, so that no other job is placed on
 * accelerators that are still in use.
 */
final class GangTermination {

	private static final long RETRY_MS = 1_000;

	private static final long LEASE_EXPIRY_MARGIN_MS = 1_000;

	private final DomainDraft draft;

	private final GangLifecycle lifecycle;

	GangTermination(DomainDraft draft, GangLifecycle lifecycle) {
		this.draft = draft;
		this.lifecycle = lifecycle;
	}

	/**
	 * Begins to end all members of a job, whatever phase it is in. The members of a
	 * running job save a checkpoint first if the job is reclaimed and its reclaim mode
	 * requires one.
	 */
	void end(Job job, Placement placement, EndCause cause) {
		boolean checkpoint = cause instanceof EndCause.Reclaimed && job.phase() instanceof GangPhase.Running
				&& job.record().owner().reclaim() == Reclaim.CHECKPOINT;
		Set<Integer> notEnded = memberNumbers(job.record().spec().shape());
		long now = this.draft.now();
		long leasesExpiredAt = now + this.draft.timings().leaseMs() + LEASE_EXPIRY_MARGIN_MS;
		GangPhase.Ending ending = new GangPhase.Ending(placement, cause, checkpoint, notEnded, Long.MAX_VALUE,
				now + this.draft.timings().checkpointBoundMs(), leasesExpiredAt);
		this.draft.put(job.withPhase(ending));
		sendEnds(job, ending);
	}

	/**
	 * Sends the end commands again to the members whose end is not confirmed. Nothing is
	 * sent while checkpoints are being saved; after the checkpoint deadline the members
	 * are stopped. Once all leases have expired, the gang counts as ended.
	 */
	void retryEnd(Job job, GangPhase.Ending ending) {
		if (this.draft.now() >= ending.leasesExpiredAt()) {
			allEnded(job, ending);
			return;
		}
		if (ending.checkpoint() && this.draft.now() < ending.checkpointDeadline()) {
			return;
		}
		GangPhase.Ending stopping = new GangPhase.Ending(ending.placement(), ending.cause(), false, ending.notEnded(),
				ending.savedMs(), ending.checkpointDeadline(), ending.leasesExpiredAt());
		this.draft.put(job.withPhase(stopping));
		sendEnds(job, stopping);
	}

	/**
	 * Stores that a job is cancelled. Only the holder writes this state, so a job never
	 * starts afterwards.
	 */
	void closeCancelled(Job job) {
		close(job, job.record().cancelled());
	}

	/**
	 * Stores the next record of a job whose members have ended: its final one, or the one
	 * with which it is queued again.
	 */
	void close(Job job, JobRecord nextRecord) {
		this.draft.put(job.withPhase(new GangPhase.Closing(nextRecord, this.draft.now() + RETRY_MS)));
		this.draft.emit(new DomainEffect.Store(nextRecord, job.revision()));
	}

	/**
	 * Handles the answer to the end command of one member.
	 */
	void memberEnded(Job job, GangPhase.Ending ending, int member, Either<WorkerFailure, TaskReport> result) {
		if (result.isLeft()) {
			markUnreachable(ending.placement(), member);
			return;
		}
		Set<Integer> notEnded = new HashSet<>(ending.notEnded());
		notEnded.remove(member);
		boolean saved = result.get().state() == TaskState.CHECKPOINTED;
		long savedMs = Math.min(ending.savedMs(), saved ? result.get().doneMs() : job.record().savedMs());
		GangPhase.Ending next = new GangPhase.Ending(ending.placement(), ending.cause(), ending.checkpoint(), notEnded,
				savedMs, ending.checkpointDeadline(), ending.leasesExpiredAt());
		if (notEnded.isEmpty()) {
			allEnded(job, next);
		}
		else {
			this.draft.put(job.withPhase(next));
		}
	}

	/**
	 * Handles the result of storing the next record of a job. If the key-value service is
	 * unavailable, a job that waits again is queued without the write, and a final record
	 * is stored again later.
	 */
	void nextRecordStored(Job job, GangPhase.Closing closing, StoreResult result) {
		switch (result) {
			case StoreResult.Done done -> finishClosing(job, closing, done.revision());
			case StoreResult.Unavailable _ when closing.nextRecord().state() == StoredState.QUEUED ->
				finishClosing(job, closing, job.revision());
			case StoreResult.Unavailable _ ->
				this.draft.put(job.withPhase(new GangPhase.Closing(closing.nextRecord(), this.draft.now() + RETRY_MS)));
			case StoreResult.Conflict conflict -> closeAfterConflict(job, closing, conflict);
		}
	}

	/**
	 * Marks the VM of a member as unreachable after a failed command, so that no new
	 * members are placed on it until it answers a renewal.
	 */
	void markUnreachable(Placement placement, int member) {
		this.draft.markReachable(this.draft.fleet().vm(placement.allocations().get(member).vm()).vm().id(), false);
	}

	/**
	 * Returns a failure as text for the record of a job.
	 */
	static String describe(WorkerFailure failure) {
		return switch (failure) {
			case WorkerFailure.StaleEpoch stale -> "the worker has seen a newer holder with epoch " + stale.newest();
			case WorkerFailure.Refused refused -> "the worker refused the command: " + refused.reason();
			case WorkerFailure.Unreachable unreachable -> "the worker is unreachable: " + unreachable.reason();
		};
	}

	private void sendEnds(Job job, GangPhase.Ending ending) {
		EndMode mode = ending.checkpoint() ? EndMode.CHECKPOINT : EndMode.STOP;
		for (int member : ending.notEnded()) {
			this.draft.emit(new DomainEffect.End(
					this.draft.memberRef(job.id(), job.lastAttempt(), member, ending.placement()), mode));
		}
	}

	private void allEnded(Job job, GangPhase.Ending ending) {
		this.draft.release(job, ending.placement());
		if (job.record().state().terminal()) {
			this.draft.remove(job.id());
		}
		else if (job.record().state() == StoredState.CANCELLING) {
			closeCancelled(job);
		}
		else {
			afterEnd(job, ending);
		}
		this.lifecycle.releaseWaiters(job.id());
	}

	private void afterEnd(Job job, GangPhase.Ending ending) {
		boolean mayStartAgain = job.record().mayStartAgain();
		long savedMs = (ending.notEnded().isEmpty() && ending.checkpoint()) ? ending.savedMs() : job.record().savedMs();
		switch (ending.cause()) {
			case EndCause.NotStarted _ ->
				this.draft.put(job.withPhase(new GangPhase.Queued(this.draft.now() + RETRY_MS)));
			case EndCause.Cancelled _ -> close(job, job.record().cancelled());
			case EndCause.Superseded superseded -> yieldToOtherHolder(job, superseded);
			case EndCause.Reclaimed _ when mayRunAgain(job, ending) -> close(job, job.record().requeued(savedMs));
			case EndCause.Reclaimed _ -> close(job,
					job.record().withState(StoredState.UNKNOWN, "reclaimed, and its checkpoint was not saved in time"));
			case EndCause.Lost _ when mayStartAgain -> close(job, job.record().requeued(savedMs));
			case EndCause.Lost lost -> close(job, job.record().withState(StoredState.UNKNOWN, lost.reason()));
			case EndCause.Failed _ when mayStartAgain -> close(job, job.record().requeued(savedMs));
			case EndCause.Failed failed ->
				close(job, job.record().withState(StoredState.FAILED, "a member failed on VM " + failed.vm()));
		}
	}

	/**
	 * Removes a job that another holder has started. If that holder's epoch is older, the
	 * job is added again as that holder has stored it.
	 */
	private void yieldToOtherHolder(Job job, EndCause.Superseded superseded) {
		this.draft.remove(job.id());
		if (superseded.record().epoch() < this.draft.epoch()) {
			this.lifecycle.adopt(superseded.record(), superseded.revision());
		}
	}

	/**
	 * Whether a reclaimed job may run again: it has not started, or it is idempotent, or
	 * all its members have saved their progress.
	 */
	private static boolean mayRunAgain(Job job, GangPhase.Ending ending) {
		boolean neverStarted = job.record().state() == StoredState.QUEUED;
		return neverStarted || job.record().owner().idempotent()
				|| (ending.checkpoint() && ending.notEnded().isEmpty());
	}

	/**
	 * Stores the next record of a job over a record that was stored in the meantime. The
	 * job is removed if the stored record is deleted, final or from a newer holder. A
	 * cancellation by the caller takes precedence over queueing the job again.
	 */
	private void closeAfterConflict(Job job, GangPhase.Closing closing, StoreResult.Conflict conflict) {
		JobRecord current = conflict.current().getOrElse((JobRecord) null);
		if (current == null || current.state().terminal() || current.epoch() > this.draft.epoch()) {
			this.draft.remove(job.id());
			return;
		}
		boolean cancelled = current.state() == StoredState.CANCELLING && !closing.nextRecord().state().terminal();
		JobRecord nextRecord = cancelled ? current.cancelled() : closing.nextRecord();
		close(job.withRecord(current, conflict.revision()), nextRecord);
	}

	private void finishClosing(Job job, GangPhase.Closing closing, long revision) {
		if (closing.nextRecord().state().terminal()) {
			this.draft.remove(job.id());
			return;
		}
		this.draft
			.put(job.withRecord(closing.nextRecord(), revision).withPhase(new GangPhase.Queued(this.draft.now())));
	}

	private static Set<Integer> memberNumbers(Shape shape) {
		Set<Integer> members = new HashSet<>();
		IntStream.range(0, shape.members()).forEach(members::add);
		return members;
	}

}
