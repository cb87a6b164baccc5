package org.citronrelay.internal.holder;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.holder.HolderState.Holding;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;
import org.citronrelay.internal.time.Ticker;

/**
 * Fences former holders: tells every worker the epoch of the new holder, below which it
 * refuses commands.
 */
final class Fencing {

	private static final int MAX_ROUNDS = 3;

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
	 * Raises the epoch of every worker that answers, before the first decision. If a
	 * worker has seen a newer epoch, as happens after the key-value service was restored
	 * from an older copy, raises the stored epoch above it and starts over.
	 * @param acquired the holding as acquired
	 * @param vms the VMs of the failure domain
	 * @return the holding with its final epoch and the answers; nothing if the epoch
	 * could not be raised or workers still reported a newer one in the last round
	 */
	Option<FenceResult> fence(Holding acquired, List<Vm> vms) {
		Holding holding = acquired;
		for (int round = 0; round < MAX_ROUNDS; round++) {
			List<DomainEvent.RenewalCompleted> answers = fenceAll(holding.epoch(), vms);
			long newest = answers.stream().mapToLong(Fencing::newestEpoch).max().orElse(0);
			if (newest <= holding.epoch()) {
				return Option.some(new FenceResult(holding, answers));
			}
			Either<KvFailure, Long> next = this.lease.nextEpoch(newest);
			if (next.isLeft()) {
				return Option.none();
			}
			holding = new Holding(next.get(), holding.lease(), holding.confirmedUntil());
		}
		return Option.none();
	}

	private List<DomainEvent.RenewalCompleted> fenceAll(long epoch, List<Vm> vms) {
		long sentAt = this.ticker.millis();
		List<Future<DomainEvent.RenewalCompleted>> calls = new ArrayList<>();
		for (Vm vm : vms) {
			calls.add(this.executor.submit(
					() -> new DomainEvent.RenewalCompleted(vm.id(), sentAt, this.workers.fence(vm.address(), epoch))));
		}
		List<DomainEvent.RenewalCompleted> answers = new ArrayList<>();
		for (Future<DomainEvent.RenewalCompleted> call : calls) {
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

	/**
	 * Returns the newer epoch that the worker has seen, 0 if it has seen none.
	 */
	private static long newestEpoch(DomainEvent.RenewalCompleted answer) {
		boolean stale = answer.result().isLeft() && answer.result().getLeft() instanceof WorkerFailure.StaleEpoch;
		return stale ? ((WorkerFailure.StaleEpoch) answer.result().getLeft()).newest() : 0;
	}

	/**
	 * A holding whose epoch every worker that answered has accepted.
	 *
	 * @param holding the holding
	 * @param answers the answer or failure of each worker
	 */
	record FenceResult(Holding holding, List<DomainEvent.RenewalCompleted> answers) {

		FenceResult {
			answers = List.copyOf(answers);
		}

	}

}
