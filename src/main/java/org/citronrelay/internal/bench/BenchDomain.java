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
 * Drives the real decisions with workers that do at once what they are told.
 */
final class BenchDomain {

	private final Map<String, JobRecord> stored = new TreeMap<>();

	private DomainState state;

	private long now = 1_000;

	private long revision = 1;

	private long decisions;

	BenchDomain(BenchFleet fleet) {
		this.state = DomainState.empty(BenchFleet.DOMAIN, 1, DomainTimings.DEFAULT);
		List<DomainEvent> first = new ArrayList<>();
		first.add(new DomainEvent.CatalogueApplied(fleet.catalogue()));
		first.add(new DomainEvent.VmListRead(fleet.vms()));
		for (Vm vm : fleet.vms()) {
			first.add(new DomainEvent.RenewalCompleted(vm.id(), this.now, Either.right(List.of())));
		}
		decide(first);
	}

	DomainState state() {
		return this.state;
	}

	long decisions() {
		return this.decisions;
	}

	void advance(long millis) {
		this.now += millis;
	}

	/**
	 * Accepts a job and carries out everything that follows.
	 * @return how long the longest single decision took, in nanoseconds
	 */
	long submit(JobRecord record) {
		this.revision++;
		return settle(List.of(new DomainEvent.RecordSeen(record, this.revision)));
	}

	/**
	 * Decides once, without carrying out what was decided.
	 * @return how long it took, in nanoseconds
	 */
	long decideOnly(List<DomainEvent> events) {
		long start = System.nanoTime();
		Decision decision = DomainScheduler.decide(this.state, events, this.now);
		long took = System.nanoTime() - start;
		this.state = decision.state();
		return took;
	}

	/**
	 * The events of cancelling jobs that wait.
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

	private long settle(List<DomainEvent> first) {
		long longest = 0;
		List<DomainEvent> events = first;
		while (!events.isEmpty()) {
			long start = System.nanoTime();
			Decision decision = decide(events);
			longest = Math.max(longest, System.nanoTime() - start);
			events = new ArrayList<>();
			for (DomainEffect effect : decision.effects()) {
				answer(effect, events);
			}
		}
		return longest;
	}

	private Decision decide(List<DomainEvent> events) {
		Decision decision = DomainScheduler.decide(this.state, events, this.now);
		this.state = decision.state();
		this.decisions++;
		return decision;
	}

	private void answer(DomainEffect effect, List<DomainEvent> events) {
		switch (effect) {
			case DomainEffect.Reserve reserve -> events.add(reply(reserve, TaskState.RESERVED));
			case DomainEffect.Start start -> events.add(reply(start, TaskState.RUNNING));
			case DomainEffect.End end -> events.add(reply(end, TaskState.CHECKPOINTED));
			case DomainEffect.Store store -> {
				this.revision++;
				this.stored.put(store.record().id(), store.record());
				events.add(new DomainEvent.StoreCompleted(store.record(), new StoreResult.Done(this.revision)));
			}
			case DomainEffect.Renew _, DomainEffect.ReportProgress _ -> {
			}
		}
	}

	private static DomainEvent reply(DomainEffect.Command command, TaskState state) {
		return new DomainEvent.CommandCompleted(command,
				Either.right(new TaskReport(command.member().task().toString(), state, 0, "")));
	}

}
