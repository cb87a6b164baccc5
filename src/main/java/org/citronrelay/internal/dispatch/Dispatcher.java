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
 * Sends requests to workers and turns what happened into the one true outcome.
 */
public final class Dispatcher {

	private static final int MOST_ATTEMPTS = 6;

	private static final long RETRY_AFTER_MS = 1_000;

	private static final long AVOIDED_MS = 120_000;

	private static final int SERVER_FAILED = 500;

	private final RequestService service;

	private final Ticker ticker;

	private final String failureDomain;

	private final AtomicReference<TargetSet> targets = new AtomicReference<>(TargetSet.EMPTY);

	private final Map<String, Long> refusedAsLeaving = new ConcurrentHashMap<>();

	private final RetryBudget budget = new RetryBudget();

	private volatile int entries = 1;

	private volatile List<Vm> vms = List.of();

	private volatile Set<String> avoidedByPeers = Set.of();

	public Dispatcher(RequestService service, Ticker ticker, String failureDomain) {
		this.service = service;
		this.ticker = ticker;
		this.failureDomain = failureDomain;
	}

	/**
	 * Takes a new VM list.
	 */
	public void vms(List<Vm> newVms) {
		this.vms = List.copyOf(newVms);
		publish();
	}

	/**
	 * Takes what peers say.
	 * @param liveEntries the live entry processes, this one included
	 * @param avoided the VMs that peers saw refuse work because they leave
	 */
	public void peers(int liveEntries, Set<String> avoided) {
		this.entries = Math.max(1, liveEntries);
		this.avoidedByPeers = Set.copyOf(avoided);
		publish();
	}

	/**
	 * The VMs that this process saw refuse work because they leave.
	 */
	public List<String> leaving() {
		long now = this.ticker.millis();
		this.refusedAsLeaving.values().removeIf((since) -> now - since > AVOIDED_MS);
		return List.copyOf(this.refusedAsLeaving.keySet());
	}

	/**
	 * The slots of all workers together.
	 */
	public int slots() {
		return this.targets.get().slots();
	}

	/**
	 * The workers that are ejected at present.
	 */
	public List<String> ejected() {
		long now = this.ticker.millis();
		return this.targets.get()
			.all()
			.stream()
			.filter((target) -> target.health().ejectedAt(now))
			.map((target) -> target.vm().id())
			.toList();
	}

	/**
	 * Sends a request until it is answered, surely not run, or lost.
	 * @param deadline when the caller stops waiting, in monotonic milliseconds
	 */
	public Outcome send(BackendRequest request, long deadline) {
		this.budget.firstTry();
		return new Sending(request, deadline).run();
	}

	private Attempt attempt(Target target, BackendRequest request, long remainingMs) {
		try {
			long timeoutMs = request.idempotent() ? Math.max(1, remainingMs / 2) : remainingMs;
			Attempt attempt = this.service.send(target.vm().address(), request, timeoutMs);
			note(target, attempt);
			return attempt;
		}
		finally {
			target.giveBack();
		}
	}

	private void note(Target target, Attempt attempt) {
		boolean good = switch (attempt) {
			case Attempt.Whole whole -> whole.reply().status() < SERVER_FAILED;
			case Attempt.NotStarted notStarted -> {
				if (notStarted.leaving()) {
					avoid(target);
				}
				yield !notStarted.failed();
			}
			case Attempt.Lost _ -> false;
		};
		TargetSet snapshot = this.targets.get();
		long now = this.ticker.millis();
		boolean wasEjected = target.health().ejectedAt(now);
		target.note(good, snapshot.meanFailureShare(), EjectionPolicy.mayEject(snapshot.ejected(now), snapshot.size()),
				now);
		if (!wasEjected && target.health().ejectedAt(now)) {
			Part.WORKER.logger()
				.warn("{} is ejected for {} ms.", target.vm().id(), target.health().ejectedUntil() - now);
		}
	}

	private void avoid(Target target) {
		if (this.refusedAsLeaving.putIfAbsent(target.vm().id(), this.ticker.millis()) == null) {
			Part.WORKER.logger().info("{} is leaving, it gets nothing new.", target.vm().id());
			publish();
		}
	}

	private void publish() {
		Set<String> avoided = new HashSet<>(this.avoidedByPeers);
		avoided.addAll(leaving());
		this.targets.updateAndGet((before) -> before.next(this.vms, avoided, this.failureDomain));
	}

	/**
	 * This process's share of the connections to a worker.
	 */
	private int share(Target target) {
		return Math.max(1, target.vm().connections() / this.entries);
	}

	/**
	 * One request on its way: what was tried and what that proved so far.
	 */
	private final class Sending {

		private final BackendRequest request;

		private final long deadline;

		private final TargetSet snapshot = Dispatcher.this.targets.get();

		private final Set<Target> tried = new HashSet<>();

		private final RandomGenerator random = ThreadLocalRandom.current();

		private String lastReason = "there is no backend server";

		private Option<Outcome> lastFailure = Option.none();

		private boolean maybeRun;

		Sending(BackendRequest request, long deadline) {
			this.request = request;
			this.deadline = deadline;
		}

		Outcome run() {
			for (int attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
				long now = Dispatcher.this.ticker.millis();
				if (now >= this.deadline) {
					return ended(NotRunCause.DEADLINE, "the deadline passed, last seen: " + this.lastReason);
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
			return ended(NotRunCause.NO_BACKEND, this.lastReason);
		}

		private Option<Outcome> tryOn(Target target, long remainingMs) {
			if (!target.tryTake(share(target))) {
				this.lastReason = "the connections to " + target.vm().id() + " are used up";
				return Option.none();
			}
			return switch (attempt(target, this.request, remainingMs)) {
				case Attempt.Whole whole -> whole(target, whole.reply());
				case Attempt.NotStarted notStarted -> next(target, notStarted.reason());
				case Attempt.Lost lost -> lost(target, lost);
			};
		}

		private Option<Outcome> whole(Target target, HttpReply reply) {
			boolean failed = reply.status() >= SERVER_FAILED;
			if (failed && this.request.idempotent() && Dispatcher.this.budget.tryRetry()) {
				this.lastFailure = Option.some(done(reply));
				return next(target, "answered " + reply.status());
			}
			return Option.some(done(reply));
		}

		private Option<Outcome> lost(Target target, Attempt.Lost lost) {
			this.maybeRun = true;
			if (this.request.idempotent() && Dispatcher.this.budget.tryRetry()) {
				return next(target, lost.reason());
			}
			return Option.some(new Outcome.Unknown(target.vm().id() + ": " + lost.reason()));
		}

		private Option<Outcome> next(Target target, String reason) {
			this.lastReason = target.vm().id() + ": " + reason;
			return Option.none();
		}

		private Outcome ended(NotRunCause cause, String reason) {
			if (this.lastFailure.isDefined()) {
				return this.lastFailure.get();
			}
			return this.maybeRun ? new Outcome.Unknown(reason) : new Outcome.NotRun(cause, reason, RETRY_AFTER_MS);
		}

		private static Outcome done(HttpReply reply) {
			return new Outcome.Done(reply.status(), reply.headers(), reply.body());
		}

	}

}
