package org.citronrelay.internal.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.time.Ticker;

/**
 * Sends requests to workers, retries where that is safe, and derives the outcome from the
 * results of all attempts.
 */
public final class Dispatcher {

	private static final int MAX_ATTEMPTS = 6;

	/**
	 * How many attempts may end without an answer: the request may crash each worker that
	 * runs it.
	 */
	private static final int MAX_LOST_ATTEMPTS = 2;

	private static final long RETRY_AFTER_MS = 1_000;

	private static final long AVOID_DRAINING_MS = 120_000;

	private static final int SERVER_ERROR_STATUS = 500;

	private final RequestService service;

	private final Ticker ticker;

	private final String failureDomain;

	private final AtomicReference<TargetSet> targets = new AtomicReference<>(TargetSet.EMPTY);

	private final Map<String, Long> refusedAsDraining = new ConcurrentHashMap<>();

	private final RetryBudget retryBudget = new RetryBudget();

	private volatile int entryCount = 1;

	private volatile List<Vm> vms = List.of();

	private volatile Set<String> drainingSeenByPeers = Set.of();

	public Dispatcher(RequestService service, Ticker ticker, String failureDomain) {
		this.service = service;
		this.ticker = ticker;
		this.failureDomain = failureDomain;
	}

	/**
	 * Replaces the VM list.
	 */
	public void updateVms(List<Vm> newVms) {
		this.vms = List.copyOf(newVms);
		refreshTargets();
	}

	/**
	 * Applies the state that peers reported.
	 * @param liveEntries the number of live entry processes, including this one
	 * @param avoided the ids of the VMs that peers saw refuse requests because they are
	 * draining
	 */
	public void updatePeers(int liveEntries, Set<String> avoided) {
		this.entryCount = Math.max(1, liveEntries);
		this.drainingSeenByPeers = Set.copyOf(avoided);
		refreshTargets();
	}

	/**
	 * Returns the ids of the VMs that refused requests of this process because they are
	 * draining, within the last 2 minutes.
	 */
	public List<String> drainingVms() {
		long now = this.ticker.millis();
		this.refusedAsDraining.values().removeIf((since) -> now - since > AVOID_DRAINING_MS);
		return List.copyOf(this.refusedAsDraining.keySet());
	}

	/**
	 * Returns the total number of slots of all workers.
	 */
	public int totalSlots() {
		return this.targets.get().slots();
	}

	/**
	 * Returns the ids of the VMs whose workers are currently ejected.
	 */
	public List<String> ejectedVms() {
		long now = this.ticker.millis();
		return this.targets.get()
			.all()
			.stream()
			.filter((target) -> target.health().ejectedAt(now))
			.map((target) -> target.vm().id())
			.toList();
	}

	/**
	 * Tries up to 6 workers in turn until one answers, the request must not be sent
	 * again, or the deadline passes.
	 * @param deadline when the caller stops waiting, in monotonic milliseconds
	 */
	public Outcome send(BackendRequest request, long deadline) {
		this.retryBudget.recordFirstAttempt();
		return new Delivery(request, deadline).run();
	}

	private AttemptResult attempt(Target target, BackendRequest request, long remainingMs) {
		try {
			long timeoutMs = request.idempotent() ? Math.max(1, remainingMs / 2) : remainingMs;
			AttemptResult result = this.service.send(target.vm().address(), request, timeoutMs);
			recordResult(target, result);
			return result;
		}
		finally {
			target.release();
		}
	}

	private void recordResult(Target target, AttemptResult result) {
		boolean success = switch (result) {
			case AttemptResult.Answered answered -> answered.reply().status() < SERVER_ERROR_STATUS;
			case AttemptResult.NotStarted notStarted -> {
				if (notStarted.draining()) {
					markDraining(target);
				}
				yield !notStarted.countsAsFailure();
			}
			case AttemptResult.Ambiguous _ -> false;
		};
		TargetSet snapshot = this.targets.get();
		long now = this.ticker.millis();
		boolean wasEjected = target.health().ejectedAt(now);
		target.recordResult(success, snapshot.meanFailureShare(),
				EjectionPolicy.mayEject(snapshot.ejected(now), snapshot.size()), now);
		if (!wasEjected && target.health().ejectedAt(now)) {
			Part.WORKER.logger()
				.warn("{} is ejected because requests to it fail; other workers are preferred for {} ms.",
						target.vm().id(), target.health().ejectedUntil() - now);
		}
	}

	private void markDraining(Target target) {
		if (this.refusedAsDraining.putIfAbsent(target.vm().id(), this.ticker.millis()) == null) {
			Part.WORKER.logger()
				.info("{} refused a request because it is draining; it gets no new requests.", target.vm().id());
			refreshTargets();
		}
	}

	private void refreshTargets() {
		Set<String> avoided = new HashSet<>(this.drainingSeenByPeers);
		avoided.addAll(drainingVms());
		this.targets.updateAndGet((before) -> before.next(this.vms, avoided, this.failureDomain));
	}

	/**
	 * Returns this process's share of the connections to a worker; at least 1.
	 */
	private int connectionShare(Target target) {
		return Math.max(1, target.vm().connections() / this.entryCount);
	}

	/**
	 * The delivery of one request, with the workers tried so far and what their results
	 * proved.
	 */
	private final class Delivery {

		private final BackendRequest request;

		private final long deadline;

		private final TargetSet snapshot = Dispatcher.this.targets.get();

		private final Set<Target> tried = new HashSet<>();

		private final RandomGenerator random = ThreadLocalRandom.current();

		private String lastReason = "no backend server is available";

		private Option<Outcome> lastFailure = Option.none();

		private int lostAttempts;

		Delivery(BackendRequest request, long deadline) {
			this.request = request;
			this.deadline = deadline;
		}

		Outcome run() {
			for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
				long now = Dispatcher.this.ticker.millis();
				if (now >= this.deadline) {
					return failedOutcome(NotRunCause.DEADLINE,
							"the deadline passed; result of the last attempt: " + this.lastReason);
				}
				Option<Target> target = TargetPicker.pick(this.snapshot, this.tried, this.random, now);
				if (target.isEmpty()) {
					break;
				}
				this.tried.add(target.get());
				Option<Outcome> outcome = tryOn(target.get(), this.deadline - now);
				if (outcome.isDefined()) {
					return outcome.get();
				}
			}
			return failedOutcome(NotRunCause.NO_BACKEND, this.lastReason);
		}

		private Option<Outcome> tryOn(Target target, long remainingMs) {
			if (!target.tryAcquire(connectionShare(target))) {
				this.lastReason = "all connections of this entry process to " + target.vm().id() + " are in use";
				return Option.none();
			}
			return switch (attempt(target, this.request, remainingMs)) {
				case AttemptResult.Answered answered -> answered(target, answered.reply());
				case AttemptResult.NotStarted notStarted -> tryAnother(target, notStarted.reason());
				case AttemptResult.Ambiguous ambiguous -> ambiguous(target, ambiguous);
			};
		}

		private Option<Outcome> answered(Target target, HttpReply reply) {
			boolean failed = reply.status() >= SERVER_ERROR_STATUS;
			if (failed && this.request.idempotent() && Dispatcher.this.retryBudget.tryAcquire()) {
				this.lastFailure = Option.some(done(reply));
				return tryAnother(target, "answered " + reply.status());
			}
			return Option.some(done(reply));
		}

		private Option<Outcome> ambiguous(Target target, AttemptResult.Ambiguous ambiguous) {
			this.lostAttempts++;
			if (this.request.idempotent() && this.lostAttempts < MAX_LOST_ATTEMPTS
					&& Dispatcher.this.retryBudget.tryAcquire()) {
				return tryAnother(target, ambiguous.reason());
			}
			return Option.some(new Outcome.Unknown(target.vm().id() + ": " + ambiguous.reason()));
		}

		private Option<Outcome> tryAnother(Target target, String reason) {
			this.lastReason = target.vm().id() + ": " + reason;
			return Option.none();
		}

		private Outcome failedOutcome(NotRunCause cause, String reason) {
			if (this.lastFailure.isDefined()) {
				return this.lastFailure.get();
			}
			return (this.lostAttempts > 0) ? new Outcome.Unknown(reason)
					: new Outcome.NotRun(cause, reason, RETRY_AFTER_MS);
		}

		private static Outcome done(HttpReply reply) {
			return new Outcome.Done(reply.status(), reply.headers(), reply.body());
		}

	}

}
