package org.citronrelay.internal.schedule;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.VmRegistration;

/**
 * One VM as known to the coordinator. Owned by one {@link ClusterScheduler}.
 */
final class VmState {

	/**
	 * The lowest rate at which the clock of a VM may run, relative to the coordinator's.
	 */
	private static final double SLOWEST_CLOCK_RATE = 0.97;

	/**
	 * How long after its end a lease counts as lapsed, in milliseconds.
	 */
	private static final long LAPSE_MARGIN_MS = 100;

	/**
	 * The age up to which an answer tells what the clock of a VM shows, in milliseconds.
	 */
	private static final long CLOCK_READING_MAX_AGE_MS = 5_000;

	/** The registration of the instance that answered last, or else of the newest one. */
	VmRegistration registration;

	/**
	 * A registration of a later instance under the same id, null if there is none. The VM
	 * has not answered as that instance yet.
	 */
	VmRegistration successor;

	/**
	 * Since when it has been in doubt which instance runs at the address, or whether one
	 * does, in monotonic milliseconds; 0 if it is not. The answer to a later renewal
	 * tells.
	 */
	long doubtedAt;

	/**
	 * The most capacity that the VM has offered in its present boot: it may shrink and
	 * grow again while it runs.
	 */
	Resources fullCapacity = Resources.NONE;

	boolean registered = true;

	final Set<TaskState> tasks = new LinkedHashSet<>();

	/** Runs that the VM lists or may be stopping, and that are not recorded for it. */
	final Map<String, OrphanedRun> orphanedRuns = new HashMap<>();

	/**
	 * The runs that counted as ended when the lease had lapsed, until the VM answers
	 * again or is known to be gone.
	 */
	List<SuspectRun> lapsedRuns = List.of();

	/** The VM's clock at its last answer, in milliseconds. */
	long clockMs;

	/**
	 * When the VM last answered, in monotonic milliseconds; 0 before its first answer.
	 */
	long answeredAt;

	/**
	 * Whether the VM has answered this coordinator, so that it obeys no earlier one.
	 */
	boolean fenced;

	/** The latest lease end that the VM was offered, in milliseconds on its clock. */
	long leaseUntil;

	/** The highest end number that was handled. */
	long handledEnd;

	/** The numbers of ends that were handled and are not stored yet. */
	final TreeSet<Long> unstoredEnds = new TreeSet<>();

	/**
	 * The earliest time at which the VM may shut down, in monotonic milliseconds;
	 * {@link Long#MAX_VALUE} if it has announced none.
	 */
	long leavesAt = Long.MAX_VALUE;

	int consecutiveFailures;

	/** The time until which the VM gets no new tasks, in monotonic milliseconds. */
	long quarantinedUntil;

	/** Whether another instance runs at the VM's address, so that the VM is gone. */
	boolean replaced;

	/**
	 * Whether the last renewal was not answered. The lease is then not extended, and no
	 * task is placed here.
	 */
	boolean unanswered;

	/**
	 * When the VM first failed to answer since its last answer, in monotonic
	 * milliseconds; 0 while it answers.
	 */
	long silentSince;

	/** Whether a renewal was sent and its outcome is not known yet. */
	boolean renewalPending;

	/**
	 * When the last renewal was sent, in monotonic milliseconds. The outcomes of earlier
	 * ones are ignored.
	 */
	long renewalSentAt;

	/** When the next renewal may be sent, in monotonic milliseconds. */
	long nextRenewalAt;

	/** The highest end number that is known to be acknowledged. */
	long acknowledgedEnd;

	VmState(VmRegistration registration) {
		this.registration = registration;
	}

	String id() {
		return this.registration.id();
	}

	/**
	 * Returns the capacity that no run takes.
	 */
	Resources free() {
		Resources free = this.registration.capacity();
		for (TaskState task : this.tasks) {
			free = free.minus(task.needs());
		}
		for (OrphanedRun orphaned : this.orphanedRuns.values()) {
			free = free.minus(orphaned.capacity());
		}
		return free;
	}

	/**
	 * Whether new tasks may be placed here.
	 */
	boolean acceptsTasks(Moment now) {
		return this.registered && !this.replaced && reachable() && !this.registration.draining()
				&& this.quarantinedUntil <= now.monotonicMs();
	}

	/**
	 * Whether the VM has answered the last renewal and no record says that another
	 * instance runs at its address.
	 */
	boolean reachable() {
		return !this.unanswered && this.doubtedAt == 0;
	}

	/**
	 * Has the VM asked at once whether it is up and which instance it is.
	 */
	void doubt(Moment now) {
		this.doubtedAt = now.monotonicMs();
		this.nextRenewalAt = now.monotonicMs();
	}

	/**
	 * Whether the VM's lease has lapsed, even if its clock runs at the lowest assumed
	 * rate.
	 */
	boolean leaseLapsed(Moment now) {
		return earliestClockMs(now) > this.leaseUntil + LAPSE_MARGIN_MS;
	}

	/**
	 * Returns the earliest time that the VM's clock may show now, in milliseconds.
	 */
	long earliestClockMs(Moment now) {
		return this.clockMs + (long) (SLOWEST_CLOCK_RATE * (now.monotonicMs() - this.answeredAt));
	}

	/**
	 * Whether the last answer is recent enough to tell what the VM's clock shows. A VM
	 * without tasks is not renewed, so that the uncertainty grows with the idle time.
	 */
	boolean clockKnown(Moment now) {
		return now.monotonicMs() - this.answeredAt <= CLOCK_READING_MAX_AGE_MS;
	}

	/**
	 * Returns the time until the guarded runs will have outlasted their probation, in
	 * milliseconds; {@link Long#MAX_VALUE} if none is on probation.
	 */
	long guardEndsInMs(Moment now) {
		return this.tasks.stream()
			.filter((task) -> task.guarded() && task.startedAt > 0 && !task.provenAt(this.answeredAt))
			.mapToLong((task) -> Math.max(0,
					task.startedAt + CrashSuspicion.probationMs(task.crashes) - now.monotonicMs()))
			.max()
			.orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns the time until an answer can confirm the end of a run that the VM does not
	 * list, in milliseconds; {@link Long#MAX_VALUE} if there is none or the VM has been
	 * asked since.
	 */
	long confirmationInMs(Moment now) {
		return this.tasks.stream()
			.filter((task) -> task.ruledOutFrom > this.renewalSentAt)
			.mapToLong((task) -> Math.max(0, task.ruledOutFrom - now.monotonicMs()))
			.min()
			.orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns the newest boot of the VM that is registered or that a run was assigned to.
	 */
	long newestBoot() {
		return Math.max(this.registration.boot(), this.tasks.stream().mapToLong((task) -> task.boot).max().orElse(0));
	}

	/**
	 * Returns the highest end number that may be acknowledged: it and all before it are
	 * stored.
	 */
	long acknowledgeableEnd() {
		return this.unstoredEnds.isEmpty() ? this.handledEnd : this.unstoredEnds.first() - 1;
	}

	/**
	 * Remembers runs that count as ended because the lease has lapsed: if the VM turns
	 * out to have crashed, they are suspected.
	 */
	void rememberLapsed(List<TaskState> runs) {
		this.lapsedRuns = Stream
			.concat(this.lapsedRuns.stream(),
					runs.stream()
						.filter(TaskState::mayHaveCrashedItsVm)
						.map((task) -> SuspectRun.of(task, this.answeredAt)))
			.toList();
	}

	void recordAnswer(long clockMs, Moment now) {
		this.clockMs = clockMs;
		this.answeredAt = now.monotonicMs();
	}

}
