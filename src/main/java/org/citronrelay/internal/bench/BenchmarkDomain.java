package org.citronrelay.internal.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.citronrelay.internal.gang.Decision;
import org.citronrelay.internal.gang.DomainEffect;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.gang.DomainEvent.StoreResult;
import org.citronrelay.internal.gang.DomainScheduler;
import org.citronrelay.internal.gang.DomainState;
import org.citronrelay.internal.gang.DomainTimings;
import org.citronrelay.internal.gang.JobRecord;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.TaskState;

/**
 * Feeds events to the scheduler of one failure domain. Commands to workers and writes to
 * the store succeed immediately, without any I/O.
 */
final class BenchmarkDomain {

	private final Map<String, JobRecord> storedRecords = new TreeMap<>();

	private DomainState state;

	private long nowMs = 1_000;

	private long revision = 1;

	private long decisionCount;

	BenchmarkDomain(BenchmarkFleet fleet) {
		this.state = DomainState.empty(BenchmarkFleet.DOMAIN, 1, DomainTimings.DEFAULT);
		List<DomainEvent> initialEvents = new ArrayList<>();
		initialEvents.add(new DomainEvent.CatalogueApplied(fleet.catalogue()));
		initialEvents.add(new DomainEvent.VmListRead(fleet.vms()));
		for (Vm vm : fleet.vms()) {
			initialEvents.add(new DomainEvent.RenewalCompleted(vm.id(), this.nowMs, Either.right(List.of())));
		}
		decide(initialEvents);
	}

	DomainState state() {
		return this.state;
	}

	long decisionCount() {
		return this.decisionCount;
	}

	/**
	 * Moves the clock of the domain forward.
	 */
	void advanceMs(long millis) {
		this.nowMs += millis;
	}

	/**
	 * Submits a job and decides until no command or write is left to complete.
	 * @return the duration of the longest single decision, in nanoseconds
	 */
	long submit(JobRecord record) {
		this.revision++;
		return decideUntilDone(List.of(new DomainEvent.RecordSeen(record, this.revision)));
	}

	/**
	 * Decides once; the resulting commands and writes are not completed.
	 * @return the duration of the decision, in nanoseconds
	 */
	long decideOnly(List<DomainEvent> events) {
		long start = System.nanoTime();
		Decision decision = DomainScheduler.decide(this.state, events, this.nowMs);
		long durationNanos = System.nanoTime() - start;
		this.state = decision.state();
		return durationNanos;
	}

	/**
	 * Returns the events that cancel the given jobs.
	 */
	List<DomainEvent> cancellations(List<JobRecord> records) {
		List<DomainEvent> events = new ArrayList<>();
		for (JobRecord record : records) {
			this.revision++;
			events.add(new DomainEvent.RecordSeen(record.withState(JobRecord.StoredState.CANCELLING, "cancelled"),
					this.revision));
		}
		return events;
	}

	private long decideUntilDone(List<DomainEvent> initialEvents) {
		long longestNanos = 0;
		List<DomainEvent> events = initialEvents;
		while (!events.isEmpty()) {
			long start = System.nanoTime();
			Decision decision = decide(events);
			longestNanos = Math.max(longestNanos, System.nanoTime() - start);
			events = new ArrayList<>();
			for (DomainEffect effect : decision.effects()) {
				complete(effect, events);
			}
		}
		return longestNanos;
	}

	private Decision decide(List<DomainEvent> events) {
		Decision decision = DomainScheduler.decide(this.state, events, this.nowMs);
		this.state = decision.state();
		this.decisionCount++;
		return decision;
	}

	private void complete(DomainEffect effect, List<DomainEvent> events) {
		switch (effect) {
			case DomainEffect.Reserve reserve -> events.add(commandCompleted(reserve, TaskState.RESERVED));
			case DomainEffect.Start start -> events.add(commandCompleted(start, TaskState.RUNNING));
			case DomainEffect.End end -> events.add(commandCompleted(end, TaskState.CHECKPOINTED));
			case DomainEffect.Store store -> {
				this.revision++;
				this.storedRecords.put(store.record().id(), store.record());
				events.add(new DomainEvent.StoreCompleted(store.record(), new StoreResult.Done(this.revision)));
			}
			case DomainEffect.Renew _, DomainEffect.ReportProgress _ -> {
			}
		}
	}

	private static DomainEvent commandCompleted(DomainEffect.Command command, TaskState state) {
		return new DomainEvent.CommandCompleted(command,
				Either.right(new TaskReport(command.member().task().toString(), state, 0, "")));
	}

}
