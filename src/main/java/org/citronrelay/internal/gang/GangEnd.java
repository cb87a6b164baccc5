package org.citronrelay.internal.gang;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.citronrelay.Reclaim;
import org.citronrelay.Shape;
import org.citronrelay.internal.gang.DomainEvent.StoreResult;
import org.citronrelay.internal.gang.JobPhase.EndCause;
import org.citronrelay.internal.gang.JobRecord.StoredState;
import org.citronrelay.internal.placement.Choice;
import org.citronrelay.internal.platform.WorkerTasks.EndMode;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.TaskState;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * How a gang ends: all members are ended, the room is free only once each of them has
 * said so or its lease has surely lapsed, and the last record is stored.
 */
final class GangEnd {

	private static final long RETRY_MS = 1_000;

	private static final long LAPSE_MARGIN_MS = 1_000;

	private final DomainDraft draft;

	private final GangSteps steps;

	GangEnd(DomainDraft draft, GangSteps steps) {
		this.draft = draft;
		this.steps = steps;
	}

	/**
	 * Ends all members of a job, whatever phase it is in.
	 */
	void end(Job job, Choice choice, EndCause cause) {
		boolean checkpoint = cause instanceof EndCause.Reclaimed && job.phase() instanceof JobPhase.Running
				&& job.record().owner().reclaim() == Reclaim.CHECKPOINT;
		Set<Integer> open = members(job.record().spec().shape());
		long now = this.draft.now();
		long lapsedAt = now + this.draft.timings().leaseMs() + LAPSE_MARGIN_MS;
		JobPhase.Ending ending = new JobPhase.Ending(choice, cause, checkpoint, open, Long.MAX_VALUE,
				now + this.draft.timings().checkpointBoundMs(), lapsedAt);
		this.draft.put(job.in(ending));
		sendEnds(job, ending);
	}

	/**
	 * Sends the end commands of all members that are not known to have ended again.
	 */
	void endAgain(Job job, JobPhase.Ending ending) {
		if (this.draft.now() >= ending.lapsedAt()) {
			allEnded(job, ending);
			return;
		}
		if (ending.checkpoint() && this.draft.now() < ending.checkpointUntil()) {
			return;
		}
		JobPhase.Ending stopping = new JobPhase.Ending(ending.choice(), ending.cause(), false, ending.open(),
				ending.savedMs(), ending.checkpointUntil(), ending.lapsedAt());
		this.draft.put(job.in(stopping));
		sendEnds(job, stopping);
	}

	/**
	 * Stores that a job is cancelled. Only the holder writes this, so a job never starts
	 * after it.
	 */
	void closeCancelled(Job job) {
		close(job, job.record().cancelled());
	}

	/**
	 * Stores the last record of a job, or the one with which it waits again.
	 */
	void close(Job job, JobRecord last) {
		this.draft.put(job.in(new JobPhase.Closing(last, this.draft.now() + RETRY_MS)));
		this.draft.emit(new Effect.Store(last, job.revision()));
	}

	void ended(Job job, JobPhase.Ending ending, int member, Either<WorkerFailure, TaskReport> result) {
		if (result.isLeft()) {
			unusable(ending.choice(), member);
			return;
		}
		Set<Integer> open = new HashSet<>(ending.open());
		open.remove(member);
		boolean saved = result.get().state() == TaskState.CHECKPOINTED;
		long savedMs = Math.min(ending.savedMs(), saved ? result.get().doneMs() : job.record().savedMs());
		JobPhase.Ending next = new JobPhase.Ending(ending.choice(), ending.cause(), ending.checkpoint(), open, savedMs,
				ending.checkpointUntil(), ending.lapsedAt());
		if (open.isEmpty()) {
			allEnded(job, next);
		}
		else {
			this.draft.put(job.in(next));
		}
	}

	void closed(Job job, JobPhase.Closing closing, StoreResult result) {
		switch (result) {
			case StoreResult.Done done -> settled(job, closing, done.revision());
			case StoreResult.Unavailable _ when closing.last().state() == StoredState.QUEUED ->
				settled(job, closing, job.revision());
			case StoreResult.Unavailable _ ->
				this.draft.put(job.in(new JobPhase.Closing(closing.last(), this.draft.now() + RETRY_MS)));
			case StoreResult.Conflict conflict -> closeOver(job, closing, conflict);
		}
	}

	void unusable(Choice choice, int member) {
		this.draft.reachable(this.draft.fleet().vm(choice.allocations().get(member).vm()).vm().id(), false);
	}

	static String phrase(WorkerFailure failure) {
		return switch (failure) {
			case WorkerFailure.StaleEpoch stale -> "a newer holder has epoch " + stale.newest();
			case WorkerFailure.Refused refused -> "refused: " + refused.reason();
			case WorkerFailure.Unreachable unreachable -> "unreachable: " + unreachable.reason();
		};
	}

	private void sendEnds(Job job, JobPhase.Ending ending) {
		EndMode mode = ending.checkpoint() ? EndMode.CHECKPOINT : EndMode.STOP;
		for (int member : ending.open()) {
			this.draft
				.emit(new Effect.End(this.draft.member(job.id(), job.lastAttempt(), member, ending.choice()), mode));
		}
	}

	private void allEnded(Job job, JobPhase.Ending ending) {
		this.draft.release(job, ending.choice());
		if (job.record().state().terminal()) {
			this.draft.remove(job.id());
		}
		else if (job.record().state() == StoredState.CANCELLING) {
			closeCancelled(job);
		}
		else {
			afterEnd(job, ending);
		}
		this.steps.releaseWaiters(job.id());
	}

	private void afterEnd(Job job, JobPhase.Ending ending) {
		boolean attemptsLeft = job.record().mayStartAgain();
		long saved = (ending.open().isEmpty() && ending.checkpoint()) ? ending.savedMs() : job.record().savedMs();
		switch (ending.cause()) {
			case EndCause.NotStarted _ -> this.draft.put(job.in(new JobPhase.Queued(this.draft.now() + RETRY_MS)));
			case EndCause.Cancelled _ -> close(job, job.record().cancelled());
			case EndCause.Superseded superseded -> superseded(job, superseded);
			case EndCause.Reclaimed _ when keepsProgress(job, ending) -> close(job, job.record().queuedAgain(saved));
			case EndCause.Reclaimed _ ->
				close(job, job.record().ended(StoredState.UNKNOWN, "reclaimed without a checkpoint in time"));
			case EndCause.Lost _ when attemptsLeft -> close(job, job.record().queuedAgain(saved));
			case EndCause.Lost lost -> close(job, job.record().ended(StoredState.UNKNOWN, lost.reason()));
			case EndCause.Failed _ when attemptsLeft -> close(job, job.record().queuedAgain(saved));
			case EndCause.Failed failed ->
				close(job, job.record().ended(StoredState.FAILED, "a member failed on " + failed.vm()));
		}
	}

	/**
	 * Gives a job up to a newer holder, or takes on what an older one has started.
	 */
	private void superseded(Job job, EndCause.Superseded superseded) {
		this.draft.remove(job.id());
		if (superseded.record().epoch() < this.draft.epoch()) {
			this.steps.adopt(superseded.record(), superseded.revision());
		}
	}

	/**
	 * Whether a reclaimed job may run again: it never ran, or its progress is saved, or
	 * it is idempotent.
	 */
	private static boolean keepsProgress(Job job, JobPhase.Ending ending) {
		boolean neverStarted = job.record().state() == StoredState.QUEUED;
		return neverStarted || job.record().owner().idempotent() || (ending.checkpoint() && ending.open().isEmpty());
	}

	private void closeOver(Job job, JobPhase.Closing closing, StoreResult.Conflict conflict) {
		JobRecord current = conflict.current().getOrElse((JobRecord) null);
		if (current == null || current.state().terminal() || current.epoch() > this.draft.epoch()) {
			this.draft.remove(job.id());
			return;
		}
		boolean cancelled = current.state() == StoredState.CANCELLING && !closing.last().state().terminal();
		JobRecord last = cancelled ? current.cancelled() : closing.last();
		close(job.stored(current, conflict.revision()), last);
	}

	private void settled(Job job, JobPhase.Closing closing, long revision) {
		if (closing.last().state().terminal()) {
			this.draft.remove(job.id());
			return;
		}
		this.draft.put(job.stored(closing.last(), revision).in(new JobPhase.Queued(this.draft.now())));
	}

	private static Set<Integer> members(Shape shape) {
		Set<Integer> members = new HashSet<>();
		IntStream.range(0, shape.members()).forEach(members::add);
		return members;
	}

}
