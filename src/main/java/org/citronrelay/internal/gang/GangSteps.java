package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.citronrelay.internal.gang.DomainEvent.StoreResult;
import org.citronrelay.internal.gang.JobPhase.EndCause;
import org.citronrelay.internal.gang.JobRecord.Member;
import org.citronrelay.internal.gang.JobRecord.StoredState;
import org.citronrelay.internal.placement.Allocation;
import org.citronrelay.internal.placement.Choice;
import org.citronrelay.internal.platform.WorkerTasks.Reservation;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.TaskState;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * The steps of a gang towards its run: reserve all members, store the attempt, start all.
 *
 * <p>
 * No member starts before every member is reserved and the attempt is stored. When
 * anything fails, {@link GangEnd} ends all members.
 */
final class GangSteps {

	private final DomainDraft draft;

	private final GangEnd ends;

	GangSteps(DomainDraft draft) {
		this.draft = draft;
		this.ends = new GangEnd(draft, this);
	}

	/**
	 * The steps by which gangs end.
	 */
	GangEnd ends() {
		return this.ends;
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
			case JobPhase.Ending ending when command instanceof Effect.End ->
				this.ends.ended(job, ending, member, result);
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
			case JobPhase.Closing closing -> this.ends.closed(job, closing, result);
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
				this.ends.end(job, running.choice(), new EndCause.Lost("member " + member + " stopped"));
		}
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
			case JobPhase.Holding holding -> this.ends.end(job, holding.choice(), new EndCause.Reclaimed());
		}
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
			this.ends.unusable(reserving.choice(), member);
			this.ends.end(job, reserving.choice(), new EndCause.NotStarted(this.ends.phrase(result.getLeft())));
			return;
		}
		if (result.get().state() != TaskState.RESERVED) {
			this.ends.end(job, reserving.choice(), new EndCause.NotStarted("the reservation is gone already"));
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
				this.ends.end(job, recording.choice(), new EndCause.NotStarted(unavailable.reason()));
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
		this.ends.end(assigned ? job : job.stored(current, conflict.revision()), recording.choice(), cause);
	}

	private void start(Job job, Choice choice) {
		long deadline = this.draft.now() + this.draft.timings().commandBoundMs();
		this.draft.put(job.in(new JobPhase.Starting(choice, Set.of(), deadline)));
		startAgain(job, choice);
	}

	private void started(Job job, JobPhase.Starting starting, int member, Either<WorkerFailure, TaskReport> result) {
		if (result.isLeft()) {
			this.ends.unusable(starting.choice(), member);
			this.ends.end(job, starting.choice(), new EndCause.Lost(this.ends.phrase(result.getLeft())));
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
		this.ends.close(job, job.record().done(ordered));
	}

	private void failed(Job job, Choice choice, int member) {
		String vm = this.draft.fleet().vm(choice.allocations().get(member).vm()).vm().id();
		this.draft.failures(this.draft.failures().failed(vm, job.id(), this.draft.now()));
		this.ends.end(job.avoiding(vm), choice, new EndCause.Failed(vm));
		this.draft.refreshUsable();
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

	private List<String> vmIds(Choice choice) {
		return choice.allocations()
			.stream()
			.map((allocation) -> this.draft.fleet().vm(allocation.vm()).vm().id())
			.distinct()
			.toList();
	}

}
