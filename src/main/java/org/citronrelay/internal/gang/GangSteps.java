package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.citronrelay.Reclaim;
import org.citronrelay.Shape;
import org.citronrelay.internal.gang.DomainEvent.StoreResult;
import org.citronrelay.internal.gang.JobPhase.EndCause;
import org.citronrelay.internal.gang.JobRecord.Member;
import org.citronrelay.internal.gang.JobRecord.StoredState;
import org.citronrelay.internal.placement.Allocation;
import org.citronrelay.internal.placement.Choice;
import org.citronrelay.internal.platform.WorkerTasks.EndMode;
import org.citronrelay.internal.platform.WorkerTasks.Reservation;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.TaskState;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * The steps of a gang: reserve all, store the attempt, start all, end all.
 *
 * <p>
 * No member starts before every member is reserved and the attempt is stored. When
 * anything fails, all members are ended, and the room is free only once each of them has
 * said so or its lease has surely lapsed.
 */
final class GangSteps {

	private static final long RETRY_MS = 1_000;

	private static final long LAPSE_MARGIN_MS = 1_000;

	private final DomainDraft draft;

	GangSteps(DomainDraft draft) {
		this.draft = draft;
	}

	/**
	 * Takes on a job that this holder does not know.
	 */
	void adopt(JobRecord record, long revision) {
		new Adoption(this.draft, this).adopt(record, revision);
	}

	/**
	 * Begins an attempt in room that others may have to give back first.
	 */
	void begin(Job job, Choice choice) {
		this.draft.hold(job, choice);
		choice.victims().forEach((victim) -> this.draft.job(victim).forEach(this::reclaim));
		Set<String> present = new HashSet<>(choice.victims());
		present
			.removeIf((victim) -> !this.draft.job(victim).exists((other) -> other.phase() instanceof JobPhase.Holding));
		if (present.isEmpty()) {
			reserve(job, choice);
		}
		else {
			this.draft.put(job.in(new JobPhase.Reclaiming(choice, present)));
		}
	}

	/**
	 * Takes the answer to a command for a member.
	 */
	void replied(Job job, Effect.Command command, Either<WorkerFailure, TaskReport> result) {
		int member = command.member().task().member();
		if (command.member().task().attempt() != job.lastAttempt()) {
			return;
		}
		switch (job.phase()) {
			case JobPhase.Reserving reserving when command instanceof Effect.Reserve ->
				reserved(job, reserving, member, result);
			case JobPhase.Starting starting when command instanceof Effect.Start ->
				started(job, starting, member, result);
			case JobPhase.Ending ending when command instanceof Effect.End -> ended(job, ending, member, result);
			default -> {
			}
		}
	}

	/**
	 * Takes the result of storing a record.
	 */
	void stored(Job job, JobRecord record, StoreResult result) {
		switch (job.phase()) {
			case JobPhase.Recording recording -> recorded(job, recording, record, result);
			case JobPhase.Closing closing -> closed(job, closing, result);
			default -> {
				if (result instanceof StoreResult.Done done && done.revision() > job.revision()) {
					this.draft.put(job.stored(record, done.revision()));
				}
			}
		}
	}

	/**
	 * Takes what a worker says of a member of a running job.
	 */
	void seen(Job job, JobPhase.Running running, int member, TaskState state, String answer) {
		switch (state) {
			case RESERVED -> this.draft
				.emit(new Effect.Start(this.draft.member(job.id(), job.lastAttempt(), member, running.choice())));
			case RUNNING -> {
				Map<Integer, Long> seenAt = new HashMap<>(running.seenAt());
				seenAt.put(member, this.draft.now());
				this.draft.put(
						job.in(new JobPhase.Running(running.choice(), running.startedAt(), seenAt, running.answers())));
			}
			case FINISHED -> finished(job, running, member, answer);
			case FAILED -> failed(job, running.choice(), member);
			case STOPPED, CHECKPOINTED ->
				end(job, running.choice(), new EndCause.Lost("member " + member + " stopped"));
		}
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
	 * Sends the start commands of an adopted job again; members that run already are not
	 * changed by them.
	 */
	void startAgain(Job job, Choice choice) {
		for (int member = 0; member < choice.allocations().size(); member++) {
			this.draft.emit(new Effect.Start(this.draft.member(job.id(), job.lastAttempt(), member, choice)));
		}
	}

	/**
	 * Makes a job give its room back.
	 */
	void reclaim(Job job) {
		switch (job.phase()) {
			case JobPhase.Ending _, JobPhase.Queued _, JobPhase.Closing _ -> {
			}
			case JobPhase.Reclaiming reclaiming -> {
				this.draft.release(job, reclaiming.choice());
				this.draft.put(job.in(new JobPhase.Queued(this.draft.now())));
				releaseWaiters(job.id());
			}
			case JobPhase.Holding holding -> end(job, holding.choice(), new EndCause.Reclaimed());
		}
	}

	/**
	 * Stores that a job is cancelled. Only the holder writes this, so a job never starts
	 * after it.
	 */
	void closeCancelled(Job job) {
		close(job, job.record().ended(StoredState.CANCELLED, "cancelled by the caller"));
	}

	/**
	 * Stores the last record of a job, or the one with which it waits again.
	 */
	void close(Job job, JobRecord last) {
		this.draft.put(job.in(new JobPhase.Closing(last, this.draft.now() + RETRY_MS)));
		this.draft.emit(new Effect.Store(last, job.revision()));
	}

	private void reserve(Job waiting, Choice choice) {
		Job job = waiting.nextAttempt();
		long deadline = this.draft.now() + this.draft.timings().commandBoundMs();
		this.draft.put(job.in(new JobPhase.Reserving(choice, Set.of(), deadline)));
		for (int member = 0; member < choice.allocations().size(); member++) {
			Effect.MemberRef ref = this.draft.member(job.id(), job.lastAttempt(), member, choice);
			this.draft.emit(new Effect.Reserve(ref, reservation(job, ref, choice.allocations().get(member))));
		}
	}

	private Reservation reservation(Job job, Effect.MemberRef ref, Allocation room) {
		return new Reservation(ref.task().toString(), room.first(), room.accelerators(), room.cores(), room.memoryGb(),
				job.record().spec().runMs(), job.record().savedMs(), this.draft.timings().leaseMs(),
				job.record().spec().payload());
	}

	private void reserved(Job job, JobPhase.Reserving reserving, int member, Either<WorkerFailure, TaskReport> result) {
		if (result.isLeft()) {
			unusable(reserving.choice(), member);
			end(job, reserving.choice(), new EndCause.NotStarted(phrase(result.getLeft())));
			return;
		}
		if (result.get().state() != TaskState.RESERVED) {
			end(job, reserving.choice(), new EndCause.NotStarted("the reservation is gone already"));
			return;
		}
		Set<Integer> reserved = new HashSet<>(reserving.reserved());
		reserved.add(member);
		if (reserved.size() < reserving.choice().allocations().size()) {
			this.draft.put(job.in(new JobPhase.Reserving(reserving.choice(), reserved, reserving.deadline())));
			return;
		}
		this.draft.put(job.in(new JobPhase.Recording(reserving.choice())));
		this.draft.emit(new Effect.Store(assigned(job, reserving.choice()), job.revision()));
	}

	private JobRecord assigned(Job job, Choice choice) {
		List<Member> members = new ArrayList<>();
		for (Allocation allocation : choice.allocations()) {
			members.add(new Member(this.draft.fleet().vm(allocation.vm()).vm().id(), allocation.first()));
		}
		return job.record().assigned(job.lastAttempt(), this.draft.epoch(), members);
	}

	private void recorded(Job job, JobPhase.Recording recording, JobRecord record, StoreResult result) {
		switch (result) {
			case StoreResult.Done done -> start(job.stored(record, done.revision()), recording.choice());
			case StoreResult.Unavailable _ when job.record().owner().idempotent() ->
				start(job.stored(record, job.revision()), recording.choice());
			case StoreResult.Unavailable unavailable ->
				end(job, recording.choice(), new EndCause.NotStarted(unavailable.reason()));
			case StoreResult.Conflict conflict -> conflicted(job, recording, record, conflict);
		}
	}

	/**
	 * Another record stands where the attempt was to be stored: that of an earlier
	 * attempt of ours whose reply was lost, that of another holder, or a cancellation.
	 */
	private void conflicted(Job job, JobPhase.Recording recording, JobRecord record, StoreResult.Conflict conflict) {
		JobRecord current = conflict.current().getOrElse(job.record().ended(StoredState.CANCELLED, "deleted"));
		boolean assigned = current.state() == StoredState.ASSIGNED;
		if (current.state() == StoredState.QUEUED || (assigned && current.epoch() == this.draft.epoch())) {
			this.draft.put(job.stored(job.record(), conflict.revision()));
			this.draft.emit(new Effect.Store(record, conflict.revision()));
			return;
		}
		EndCause cause = assigned ? new EndCause.Superseded(current, conflict.revision()) : new EndCause.Cancelled();
		end(assigned ? job : job.stored(current, conflict.revision()), recording.choice(), cause);
	}

	private void start(Job job, Choice choice) {
		long deadline = this.draft.now() + this.draft.timings().commandBoundMs();
		this.draft.put(job.in(new JobPhase.Starting(choice, Set.of(), deadline)));
		startAgain(job, choice);
	}

	private void started(Job job, JobPhase.Starting starting, int member, Either<WorkerFailure, TaskReport> result) {
		if (result.isLeft()) {
			unusable(starting.choice(), member);
			end(job, starting.choice(), new EndCause.Lost(phrase(result.getLeft())));
			return;
		}
		Set<Integer> started = new HashSet<>(starting.started());
		started.add(member);
		if (started.size() < starting.choice().allocations().size()) {
			this.draft.put(job.in(new JobPhase.Starting(starting.choice(), started, starting.deadline())));
			return;
		}
		long now = this.draft.now();
		Map<Integer, Long> seenAt = new HashMap<>();
		started.forEach((number) -> seenAt.put(number, now));
		this.draft.put(job.in(new JobPhase.Running(starting.choice(), now, seenAt, Map.of())));
		this.draft.emit(new Effect.Note(job.record(), now - job.acceptedAt(), -1));
	}

	private void finished(Job job, JobPhase.Running running, int member, String answer) {
		Map<Integer, String> answers = new HashMap<>(running.answers());
		answers.put(member, answer);
		int members = running.choice().allocations().size();
		if (answers.size() < members) {
			this.draft
				.put(job.in(new JobPhase.Running(running.choice(), running.startedAt(), running.seenAt(), answers)));
			return;
		}
		long now = this.draft.now();
		this.draft.release(job, running.choice());
		this.draft.learned(this.draft.estimates().learned(job.record(), now - running.startedAt()));
		vmIds(running.choice()).forEach((vm) -> this.draft.failures(this.draft.failures().succeeded(vm)));
		List<String> ordered = IntStream.range(0, members).mapToObj(answers::get).toList();
		this.draft.emit(new Effect.Note(job.record().done(ordered), running.startedAt() - job.acceptedAt(),
				now - job.acceptedAt()));
		close(job, job.record().done(ordered));
	}

	private void failed(Job job, Choice choice, int member) {
		String vm = this.draft.fleet().vm(choice.allocations().get(member).vm()).vm().id();
		this.draft.failures(this.draft.failures().failed(vm, job.id(), this.draft.now()));
		end(job.avoiding(vm), choice, new EndCause.Failed(vm));
		this.draft.refreshUsable();
	}

	private void ended(Job job, JobPhase.Ending ending, int member, Either<WorkerFailure, TaskReport> result) {
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
		releaseWaiters(job.id());
	}

	private void afterEnd(Job job, JobPhase.Ending ending) {
		boolean attemptsLeft = job.record().owner().idempotent()
				&& job.record().starts() < job.record().owner().attempts();
		long saved = (ending.open().isEmpty() && ending.checkpoint()) ? ending.savedMs() : job.record().savedMs();
		switch (ending.cause()) {
			case EndCause.NotStarted _ -> this.draft.put(job.in(new JobPhase.Queued(this.draft.now() + RETRY_MS)));
			case EndCause.Cancelled _ ->
				close(job, job.record().ended(StoredState.CANCELLED, "cancelled by the caller"));
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
			adopt(superseded.record(), superseded.revision());
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

	private void closed(Job job, JobPhase.Closing closing, StoreResult result) {
		switch (result) {
			case StoreResult.Done done -> settled(job, closing, done.revision());
			case StoreResult.Unavailable _ when closing.last().state() == StoredState.QUEUED ->
				settled(job, closing, job.revision());
			case StoreResult.Unavailable _ ->
				this.draft.put(job.in(new JobPhase.Closing(closing.last(), this.draft.now() + RETRY_MS)));
			case StoreResult.Conflict conflict -> closeOver(job, closing, conflict);
		}
	}

	private void closeOver(Job job, JobPhase.Closing closing, StoreResult.Conflict conflict) {
		JobRecord current = conflict.current().getOrElse((JobRecord) null);
		if (current == null || current.state().terminal() || current.epoch() > this.draft.epoch()) {
			this.draft.remove(job.id());
			return;
		}
		boolean cancelled = current.state() == StoredState.CANCELLING && !closing.last().state().terminal();
		JobRecord last = cancelled ? current.ended(StoredState.CANCELLED, "cancelled by the caller") : closing.last();
		close(job.stored(current, conflict.revision()), last);
	}

	private void settled(Job job, JobPhase.Closing closing, long revision) {
		if (closing.last().state().terminal()) {
			this.draft.remove(job.id());
			return;
		}
		this.draft.put(job.stored(closing.last(), revision).in(new JobPhase.Queued(this.draft.now())));
	}

	/**
	 * Lets jobs go on that waited for a job to give its room back.
	 */
	void releaseWaiters(String gone) {
		for (Job waiter : this.draft.jobs()) {
			if (waiter.phase() instanceof JobPhase.Reclaiming reclaiming && reclaiming.victims().contains(gone)) {
				Set<String> left = new HashSet<>(reclaiming.victims());
				left.remove(gone);
				if (left.isEmpty()) {
					reserve(waiter, reclaiming.choice());
				}
				else {
					this.draft.put(waiter.in(new JobPhase.Reclaiming(reclaiming.choice(), left)));
				}
			}
		}
	}

	private void sendEnds(Job job, JobPhase.Ending ending) {
		EndMode mode = ending.checkpoint() ? EndMode.CHECKPOINT : EndMode.STOP;
		for (int member : ending.open()) {
			this.draft
				.emit(new Effect.End(this.draft.member(job.id(), job.lastAttempt(), member, ending.choice()), mode));
		}
	}

	private void unusable(Choice choice, int member) {
		this.draft.reachable(this.draft.fleet().vm(choice.allocations().get(member).vm()).vm().id(), false);
	}

	private List<String> vmIds(Choice choice) {
		return choice.allocations()
			.stream()
			.map((allocation) -> this.draft.fleet().vm(allocation.vm()).vm().id())
			.distinct()
			.toList();
	}

	private static Set<Integer> members(Shape shape) {
		Set<Integer> members = new HashSet<>();
		IntStream.range(0, shape.members()).forEach(members::add);
		return members;
	}

	private static String phrase(WorkerFailure failure) {
		return switch (failure) {
			case WorkerFailure.StaleEpoch stale -> "a newer holder has epoch " + stale.newest();
			case WorkerFailure.Refused refused -> "refused: " + refused.reason();
			case WorkerFailure.Unreachable unreachable -> "unreachable: " + unreachable.reason();
		};
	}

}
