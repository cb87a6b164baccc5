package org.citronrelay.internal.schedule;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.VmReport;

/**
 * One VM as the coordinator knows it. Owned by one {@link JobBook}.
 */
final class VmState {

	/** How slow a VM's clock may be against ours. */
	private static final double SLOWEST_CLOCK_RATE = 0.97;

	/**
	 * What a lease is given beyond its end before it counts as lapsed, in milliseconds.
	 */
	private static final long LAPSE_MARGIN_MS = 100;

	VmReport report;

	/** Whether the VM is registered at present. */
	boolean registered = true;

	final Set<TaskState> tasks = new LinkedHashSet<>();

	/** Runs that the VM lists and that are no longer wanted, with the room they take. */
	final Map<String, Resources> orphanedRuns = new HashMap<>();

	/** The VM's clock when it was last heard, in its milliseconds. */
	long clockMs;

	/** When it was last heard, in ticks. */
	long answeredAt;

	/** Whether it has answered this coordinator, so that older orders cannot reach it. */
	boolean fenced;

	/** The latest end of the lease that it was offered, on its clock. */
	long leaseUntil;

	/** The highest number of an end that was taken in. */
	long handledEnd;

	/** Ends that are taken in and not stored yet. */
	final TreeSet<Long> unstoredEnds = new TreeSet<>();

	/** Runs that failed here in a row. */
	int consecutiveFailures;

	/** Until when it gets no new tasks, in ticks. */
	long quarantinedUntil;

	/**
	 * Whether the VM took itself off the register: its entry went sooner than that of a
	 * silent VM would have lapsed.
	 */
	boolean removedItself;

	/** Whether the last renewal was not answered; its lease is then not extended. */
	boolean unanswered;

	/** Whether a renewal is under way. */
	boolean renewalPending;

	/** When the renewal that is under way was sent, in ticks. */
	long renewalSentAt;

	/** When the next renewal may go out, in ticks. */
	long nextRenewalAt;

	/** The highest end that was acknowledged in a renewal that was answered. */
	long acknowledgedEnd;

	VmState(VmReport report) {
		this.report = report;
	}

	String id() {
		return this.report.id();
	}

	/**
	 * The room that no run takes.
	 */
	Resources free() {
		Resources free = this.report.capacity();
		for (TaskState task : this.tasks) {
			free = free.minus(task.needs());
		}
		for (Resources stray : this.orphanedRuns.values()) {
			free = free.minus(stray);
		}
		return free;
	}

	/**
	 * Whether new tasks may be placed here.
	 */
	boolean acceptsTasks(Moment now) {
		return this.registered && !this.report.draining() && this.quarantinedUntil <= now.ticks();
	}

	/**
	 * Whether the lease of everything on the VM has surely ended.
	 */
	boolean leaseLapsed(Moment now) {
		return this.clockMs + SLOWEST_CLOCK_RATE * (now.ticks() - this.answeredAt) > this.leaseUntil + LAPSE_MARGIN_MS;
	}

	/**
	 * The highest end that may be acknowledged: it and all before it are stored.
	 */
	long acknowledgeableEnd() {
		return this.unstoredEnds.isEmpty() ? this.handledEnd : this.unstoredEnds.first() - 1;
	}

	void recordAnswer(long clock, Moment now) {
		this.clockMs = clock;
		this.answeredAt = now.ticks();
	}

}
