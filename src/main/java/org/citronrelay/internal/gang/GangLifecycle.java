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
import org.citronrelay.internal.gang.GangPhase.EndCause;
import org.citronrelay.internal.gang.JobRecord.Member;
import org.citronrelay.internal.gang.JobRecord.StoredState;
import org.citronrelay.internal.placement.Allocation;
import org.citronrelay.internal.placement.Placement;
import org.citronrelay.internal.platform.WorkerTasks.Reservation;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.TaskState;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;

/**
 * Runs each gang from its placement to its end: reserves all members, stores the attempt,
 * starts all members and follows the running ones.
 *
 * <p>
 * No member starts before every member is reserved and the attempt is stored. Only an
 * idempotent job also starts while the key-value service is unavailable. If any step
 * fails, {@link GangTermination} ends all members.
 */
final class GangLifecycle {

	private final DomainDraft draft;

	private final GangTermination termination;

	GangLifecycle(DomainDraft draft) {
		this.draft = draft;
		this.termination = new GangTermination(draft, this);
	}

	/**
	 * Returns the part that ends gangs.
	 */
	GangTermination termination() {
		return this.termination;
	}

	/**
	 * Adds a job that this holder does not know yet; see {@link Adoption}.
	 */
	void adopt(JobRecord record, long revision) {
		new Adoption(this.draft, this).adopt(record, revision);
	}

	/**
	 * Starts an attempt at a placement. Jobs that hold its capacity are reclaimed first,
	 * and the members are reserved when all of them have ended.
	 */
	void startAttempt(Job job, Placement placement) {
		this.draft.allocate(job, placement);
		placement.victims().forEach((victim) -> this.draft.job(victim).forEach(this::reclaim));
		Set<String> remaining = new HashSet<>(placement.victims());
		remaining.removeIf(
				(victim) -> !this.draft.job(victim).exists((other) -> other.phase() instanceof GangPhase.Allocated));
		if (remaining.isEmpty()) {
			reserveMembers(job, placement);
		}
		else {
			this.draft.put(job.withPhase(new GangPhase.Reclaiming(placement, remaining)));
		}
	}

	/**
	 * Handles the answer to a command for a member. Answers that belong to an earlier
	 * attempt or to another phase are ignored.
	 */
	void commandCompleted(Job job, DomainEffect.Command command, Either<WorkerFailure, TaskReport> result) {
		int member = command.member().task().member();
		if (command.member().task().attempt() != job.lastAttempt()) {
			return;
		}
		switch (job.phase()) {
			case GangPhase.Reserving reserving when command instanceof DomainEffect.Reserve ->
				memberReserved(job, reserving, member, result);
			case GangPhase.Starting starting when command instanceof DomainEffect.Start ->
				memberStarted(job, starting, member, result);
			case GangPhase.Ending ending when command instanceof DomainEffect.End ->
				this.termination.memberEnded(job, ending, member, result);
			default -> {
			}
		}
	}

	/**
	 * Handles the result of storing a record.
	 */
	void storeCompleted(Job job, JobRecord record, StoreResult result) {
		switch (job.phase()) {
			case GangPhase.Recording recording -> attemptStored(job, recording, record, result);
			case GangPhase.Closing closing -> this.termination.nextRecordStored(job, closing, result);
			default -> {
				if (result instanceof StoreResult.Done done && done.revision() > job.revision()) {
					this.draft.put(job.withRecord(record, done.revision()));
				}
			}
		}
	}

	/**
	 * Handles the state that a worker reports for a member of a running job.
	 * @param answer the answer of the member if it has finished
	 */
	void memberReported(Job job, GangPhase.Running running, int member, TaskState state, String answer) {
		switch (state) {
			case RESERVED -> this.draft.emit(new DomainEffect.Start(
					this.draft.memberRef(job.id(), job.lastAttempt(), member, running.placement())));
			case RUNNING -> {
				Map<Integer, Long> lastSeenAt = new HashMap<>(running.lastSeenAt());
				lastSeenAt.put(member, this.draft.now());
				this.draft.put(job.withPhase(new GangPhase.Running(running.placement(), running.startedAt(), lastSeenAt,
						running.answers())));
			}
			case FINISHED -> memberFinished(job, running, member, answer);
			case FAILED -> memberFailed(job, running.placement(), member);
			case STOPPED, CHECKPOINTED -> this.termination.end(job, running.placement(),
					new EndCause.Lost("member " + member + " stopped before it finished"));
		}
	}

	/**
	 * Sends the start commands to all members. A start command has no effect on a member
	 * that runs already, so the commands may be repeated.
	 */
	void sendStarts(Job job, Placement placement) {
		for (int member = 0; member < placement.allocations().size(); member++) {
			this.draft
				.emit(new DomainEffect.Start(this.draft.memberRef(job.id(), job.lastAttempt(), member, placement)));
		}
	}

	/**
	 * Frees the capacity that a job holds, for another job.
	 */
	void reclaim(Job job) {
		switch (job.phase()) {
			case GangPhase.Ending _, GangPhase.Queued _, GangPhase.Closing _ -> {
			}
			case GangPhase.Reclaiming reclaiming -> {
				this.draft.release(job, reclaiming.placement());
				this.draft.put(job.withPhase(new GangPhase.Queued(this.draft.now())));
				releaseWaiters(job.id());
			}
			case GangPhase.Allocated allocated ->
				this.termination.end(job, allocated.placement(), new EndCause.Reclaimed());
		}
	}

	private void reserveMembers(Job queued, Placement placement) {
		Job job = queued.nextAttempt();
		long deadline = this.draft.now() + this.draft.timings().commandBoundMs();
		this.draft.put(job.withPhase(new GangPhase.Reserving(placement, Set.of(), deadline)));
		for (int member = 0; member < placement.allocations().size(); member++) {
			DomainEffect.MemberRef ref = this.draft.memberRef(job.id(), job.lastAttempt(), member, placement);
			this.draft.emit(new DomainEffect.Reserve(ref, reservation(job, ref, placement.allocations().get(member))));
		}
	}

	private Reservation reservation(Job job, DomainEffect.MemberRef ref, Allocation allocation) {
		return new Reservation(ref.task().toString(), allocation.first(), allocation.accelerators(), allocation.cores(),
				allocation.memoryGb(), job.record().spec().runMs(), job.record().savedMs(),
				this.draft.timings().leaseMs(), job.record().spec().payload());
	}

	private void memberReserved(Job job, GangPhase.Reserving reserving, int member,
			Either<WorkerFailure, TaskReport> result) {
		if (result.isLeft()) {
			this.termination.markUnreachable(reserving.placement(), member);
			this.termination.end(job, reserving.placement(),
					new EndCause.NotStarted(this.termination.describe(result.getLeft())));
			return;
		}
		if (result.get().state() != TaskState.RESERVED) {
			this.termination.end(job, reserving.placement(),
					new EndCause.NotStarted("a member's reservation ended before all members were reserved"));
			return;
		}
		Set<Integer> reserved = new HashSet<>(reserving.reserved());
		reserved.add(member);
		if (reserved.size() < reserving.placement().allocations().size()) {
			this.draft
				.put(job.withPhase(new GangPhase.Reserving(reserving.placement(), reserved, reserving.deadline())));
			return;
		}
		this.draft.put(job.withPhase(new GangPhase.Recording(reserving.placement())));
		this.draft.emit(new DomainEffect.Store(assignedRecord(job, reserving.placement()), job.revision()));
	}

	private JobRecord assignedRecord(Job job, Placement placement) {
		List<Member> members = new ArrayList<>();
		for (Allocation allocation : placement.allocations()) {
			members.add(new Member(this.draft.fleet().vm(allocation.vm()).vm().id(), allocation.first()));
		}
		return job.record().assigned(job.lastAttempt(), this.draft.epoch(), members);
	}

	/**
	 * Handles the result of storing the attempt. If the key-value service is unavailable,
	 * an idempotent job starts nonetheless; any other job does not start.
	 */
	private void attemptStored(Job job, GangPhase.Recording recording, JobRecord record, StoreResult result) {
		switch (result) {
			case StoreResult.Done done -> startMembers(job.withRecord(record, done.revision()), recording.placement());
			case StoreResult.Unavailable _ when job.record().owner().idempotent() ->
				startMembers(job.withRecord(record, job.revision()), recording.placement());
			case StoreResult.Unavailable unavailable ->
				this.termination.end(job, recording.placement(), new EndCause.NotStarted(unavailable.reason()));
			case StoreResult.Conflict conflict -> attemptConflicted(job, recording, record, conflict);
		}
	}

	/**
	 * Handles a conflict when the attempt is stored. The stored record is a queued one,
	 * that of an earlier attempt by this holder whose reply was lost, that of another
	 * holder, or a cancellation. In the first two cases the attempt is stored again at
	 * the new revision; otherwise its members are ended.
	 */
	private void attemptConflicted(Job job, GangPhase.Recording recording, JobRecord record,
			StoreResult.Conflict conflict) {
		JobRecord current = conflict.current()
			.getOrElse(job.record().withState(StoredState.CANCELLED, "its record was deleted"));
		boolean assigned = current.state() == StoredState.ASSIGNED;
		if (current.state() == StoredState.QUEUED || (assigned && current.epoch() == this.draft.epoch())) {
			this.draft.put(job.withRecord(job.record(), conflict.revision()));
			this.draft.emit(new DomainEffect.Store(record, conflict.revision()));
			return;
		}
		EndCause cause = assigned ? new EndCause.Superseded(current, conflict.revision()) : new EndCause.Cancelled();
		this.termination.end(assigned ? job : job.withRecord(current, conflict.revision()), recording.placement(),
				cause);
	}

	private void startMembers(Job job, Placement placement) {
		long deadline = this.draft.now() + this.draft.timings().commandBoundMs();
		this.draft.put(job.withPhase(new GangPhase.Starting(placement, Set.of(), deadline)));
		sendStarts(job, placement);
	}

	private void memberStarted(Job job, GangPhase.Starting starting, int member,
			Either<WorkerFailure, TaskReport> result) {
		if (result.isLeft()) {
			this.termination.markUnreachable(starting.placement(), member);
			this.termination.end(job, starting.placement(),
					new EndCause.Lost(this.termination.describe(result.getLeft())));
			return;
		}
		Set<Integer> started = new HashSet<>(starting.started());
		started.add(member);
		if (started.size() < starting.placement().allocations().size()) {
			this.draft.put(job.withPhase(new GangPhase.Starting(starting.placement(), started, starting.deadline())));
			return;
		}
		long now = this.draft.now();
		Map<Integer, Long> lastSeenAt = new HashMap<>();
		started.forEach((number) -> lastSeenAt.put(number, now));
		this.draft.put(job.withPhase(new GangPhase.Running(starting.placement(), now, lastSeenAt, Map.of())));
		this.draft.emit(new DomainEffect.ReportProgress(job.record(), now - job.knownSince(), -1));
	}

	private void memberFinished(Job job, GangPhase.Running running, int member, String answer) {
		Map<Integer, String> answers = new HashMap<>(running.answers());
		answers.put(member, answer);
		int members = running.placement().allocations().size();
		if (answers.size() < members) {
			this.draft.put(job.withPhase(
					new GangPhase.Running(running.placement(), running.startedAt(), running.lastSeenAt(), answers)));
			return;
		}
		long now = this.draft.now();
		this.draft.release(job, running.placement());
		this.draft.estimates(this.draft.estimates().withObservation(job.record(), now - running.startedAt()));
		vmIds(running.placement()).forEach((vm) -> this.draft.failures(this.draft.failures().succeeded(vm)));
		List<String> orderedAnswers = IntStream.range(0, members).mapToObj(answers::get).toList();
		this.draft.emit(new DomainEffect.ReportProgress(job.record().done(orderedAnswers),
				running.startedAt() - job.knownSince(), now - job.knownSince()));
		this.termination.close(job, job.record().done(orderedAnswers));
	}

	private void memberFailed(Job job, Placement placement, int member) {
		String vm = this.draft.fleet().vm(placement.allocations().get(member).vm()).vm().id();
		this.draft.failures(this.draft.failures().failed(vm, job.id(), this.draft.now()));
		this.termination.end(job.avoiding(vm), placement, new EndCause.Failed(vm));
		this.draft.refreshUsable();
	}

	/**
	 * Continues the attempts that waited for a job to end: their members are reserved
	 * once no other job still holds their capacity.
	 * @param endedJob the id of the job that has ended
	 */
	void releaseWaiters(String endedJob) {
		for (Job waiter : this.draft.jobs()) {
			if (waiter.phase() instanceof GangPhase.Reclaiming reclaiming && reclaiming.victims().contains(endedJob)) {
				Set<String> remaining = new HashSet<>(reclaiming.victims());
				remaining.remove(endedJob);
				if (remaining.isEmpty()) {
					reserveMembers(waiter, reclaiming.placement());
				}
				else {
					this.draft.put(waiter.withPhase(new GangPhase.Reclaiming(reclaiming.placement(), remaining)));
				}
			}
		}
	}

	private List<String> vmIds(Placement placement) {
		return placement.allocations()
			.stream()
			.map((allocation) -> this.draft.fleet().vm(allocation.vm()).vm().id())
			.distinct()
			.toList();
	}

}
