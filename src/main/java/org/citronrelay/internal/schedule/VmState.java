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
	private static final double SLOWEST_CLOCK = 0.97;

	/**
	 * What a lease is given beyond its end before it counts as lapsed, in milliseconds.
	 */
	private static final long LAPSE_MARGIN_MS = 100;

	VmReport report;

	/** Whether the VM is registered at present. */
	boolean registered = true;

	final Set<TaskState> tasks = new LinkedHashSet<>();

	/** Runs that the VM lists and that are no longer wanted, with the room they take. */
	final Map<String, Resources> strays = new HashMap<>();

	/** The VM's clock when it was last heard, in its milliseconds. */
	long clockMs;

	/** When it was last heard, in ticks. */
	long heardAt;

	/** Whether it has answered this coordinator, so that older orders cannot reach it. */
	boolean fenced;

	/** The latest end of the lease that it was offered, on its clock. */
	long leaseUntil;

	/** The highest number of an end that was taken in. */
	long seenEnd;

	/** Ends that are taken in and not stored yet. */
	final TreeSet<Long> unstoredEnds = new TreeSet<>();

	/** Runs that failed here in a row. */
	int failedInRow;

	/** Until when it gets no new tasks, in ticks. */
	long benchedUntil;

	/**
	 * Whether the VM took itself off the register: its entry went sooner than that of a
	 * silent VM would have lapsed.
	 */
	boolean left;

	/** Whether the last renewal was not answered; its lease is then not extended. */
	boolean silent;

	/** Whether a renewal is under way. */
	boolean renewing;

	/** When the renewal that is under way was sent, in ticks. */
	long renewSentAt;

	/** When the next renewal may go out, in ticks. */
	long renewAt;

	/** The highest end that was acknowledged in a renewal that was answered. */
	long acknowledged;

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
		for (Resources stray : this.strays.values()) {
			free = free.minus(stray);
		}
		return free;
	}

	/**
	 * Whether new tasks may be placed here.
	 */
	boolean open(Moment now) {
		return this.registered && !this.report.draining() && this.benchedUntil <= now.ticks();
	}

	/**
	 * Whether the lease of everything on the VM has surely ended.
	 */
	boolean lapsed(Moment now) {
		return this.clockMs + SLOWEST_CLOCK * (now.ticks() - this.heardAt) > this.leaseUntil + LAPSE_MARGIN_MS;
	}

	/**
	 * The highest end that may be acknowledged: it and all before it are stored.
	 */
	long acknowledgeable() {
		return this.unstoredEnds.isEmpty() ? this.seenEnd : this.unstoredEnds.first() - 1;
	}

	void heard(long clock, Moment now) {
		this.clockMs = clock;
		this.heardAt = now.ticks();
	}

}
