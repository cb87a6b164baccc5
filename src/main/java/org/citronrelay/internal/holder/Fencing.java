package org.citronrelay.internal.holder;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.holder.Tenancy.Holding;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;
import org.citronrelay.internal.time.Ticker;

/**
 * Shuts former holders out: tells every worker the epoch of the new one.
 */
final class Fencing {

	private static final int FENCE_ROUNDS = 3;

	private final DomainLease lease;

	private final WorkerTasks workers;

	private final ExecutorService executor;

	private final Ticker ticker;

	Fencing(DomainLease lease, WorkerTasks workers, ExecutorService executor, Ticker ticker) {
		this.lease = lease;
		this.workers = workers;
		this.executor = executor;
		this.ticker = ticker;
	}

	/**
	 * Raises the epoch of every worker that answers, before the first decision. Where one
	 * has seen a newer epoch, as after the service went back to an older copy, a newer
	 * one is taken.
	 */
	Option<Fenced> fence(Holding first, List<Vm> vms) {
		Holding holding = first;
		for (int round = 0; round < FENCE_ROUNDS; round++) {
			List<DomainEvent.Renewed> answers = fenceAll(holding.epoch(), vms);
			long newest = answers.stream().mapToLong(Fencing::newestSeen).max().orElse(0);
			if (newest <= holding.epoch()) {
				return Option.some(new Fenced(holding, answers));
			}
			Either<KvFailure, Long> next = this.lease.nextEpoch(newest);
			if (next.isLeft()) {
				return Option.none();
			}
			holding = new Holding(next.get(), holding.lease(), holding.confirmedUntil());
		}
		return Option.none();
	}

	private List<DomainEvent.Renewed> fenceAll(long epoch, List<Vm> vms) {
		long sentAt = this.ticker.millis();
		List<Future<DomainEvent.Renewed>> calls = new ArrayList<>();
		for (Vm vm : vms) {
			calls.add(this.executor
				.submit(() -> new DomainEvent.Renewed(vm.id(), sentAt, this.workers.fence(vm.address(), epoch))));
		}
		List<DomainEvent.Renewed> answers = new ArrayList<>();
		for (Future<DomainEvent.Renewed> call : calls) {
			try {
				answers.add(call.get());
			}
			catch (ExecutionException ex) {
				throw new IllegalStateException(ex.getCause());
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		return answers;
	}

	private static long newestSeen(DomainEvent.Renewed answer) {
		boolean stale = answer.result().isLeft() && answer.result().getLeft() instanceof WorkerFailure.StaleEpoch;
		return stale ? ((WorkerFailure.StaleEpoch) answer.result().getLeft()).newest() : 0;
	}

	/**
	 * A tenancy whose epoch every worker that answered has taken.
	 *
	 * @param holding the tenancy
	 * @param answers what the workers said
	 */
	record Fenced(Holding holding, List<DomainEvent.Renewed> answers) {

		Fenced {
			answers = List.copyOf(answers);
		}

	}

}
