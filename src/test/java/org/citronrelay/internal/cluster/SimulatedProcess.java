package org.citronrelay.internal.cluster;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.Moment;

/**
 * An entry process of a simulation, with clocks of its own: it takes part in the election
 * as {@link Election} does, may stand still, and may end at any time.
 */
final class SimulatedProcess {

	private static final int RENEWALS_PER_TERM = 4;

	private static final long TERM_MS = ClusterSettings.Coordination.DEFAULT.termMs();

	private static final long WATCH_TIMEOUT_MS = 2_000;

	private static final int WATCHES_PER_READ = 2;

	private static final long RETRY_MS = 200;

	private static final int CANDIDACY_DELAY_MS = 40;

	private static final int JITTER_MS = 20;

	private static final long STORE_TIMEOUT_MS = 600;

	private static final long RELAY_TIMEOUT_MS = 700;

	private static final long RELAY_OVERHEAD_MS = 100;

	private static final long DIRECT_RETRY_MS = 1_000;

	/** How long a process that was told to stop goes on, in milliseconds. */
	private static final long STOP_MS = 2_200;

	private static final int WAKE_JITTER_MS = 3;

	final String name;

	private final Simulation simulation;

	private final SplittableRandom random;

	private long monotonicOffset;

	private long wallOffset;

	/** Grows with each start and end, so that nothing of an earlier life goes on. */
	private int life;

	private boolean up;

	private boolean candidate;

	private long frozenUntil;

	private long retryDirectAt;

	/** The fault that takes effect at the next decision, null if there is none. */
	private Fault atNextDecision;

	private Term term;

	SimulatedProcess(Simulation simulation, String name, SplittableRandom random) {
		this.simulation = simulation;
		this.name = name;
		this.random = random;
		this.monotonicOffset = random.nextInt(1_000_000_000);
	}

	void start() {
		this.up = true;
		this.life++;
		this.candidate = true;
		this.frozenUntil = 0;
		this.atNextDecision = null;
		this.term = null;
		takePart();
	}

	/**
	 * Lets a fault of a process take effect.
	 */
	void apply(Fault fault) {
		if (!this.up) {
			return;
		}
		switch (fault.kind()) {
			case FREEZE -> freeze(fault.durationMs());
			case SUSPEND -> {
				this.monotonicOffset -= fault.durationMs();
				freeze(fault.durationMs());
			}
			case KILL -> end(fault.durationMs());
			case TERMINATE -> terminate(fault.durationMs());
			case WALL_CLOCK_STEP -> this.wallOffset += fault.value();
			case FREEZE_AT_DECISION, SUSPEND_AT_DECISION, TERMINATE_AT_DECISION -> this.atNextDecision = fault;
			default -> throw new IllegalArgumentException(fault + " is no fault of a process");
		}
	}

	/**
	 * Returns the token of the present term, 0 if there is none.
	 */
	long token() {
		return (this.term != null) ? this.term.token() : 0;
	}

	Moment now() {
		long now = this.simulation.time().now();
		return new Moment(now + this.monotonicOffset, now + this.wallOffset);
	}

	/**
	 * Runs an action later, unless the process has ended by then; one that stands still
	 * runs it when it goes on.
	 */
	void after(long delayMs, Runnable action) {
		int since = this.life;
		this.simulation.time().after(delayMs, () -> resume(since, action));
	}

	/**
	 * Called when a decision has been taken and before it is carried out.
	 */
	void decided(List<Effect> effects) {
		Fault fault = this.atNextDecision;
		if (fault != null && effects.stream().anyMatch((effect) -> interrupts(fault, effect))) {
			this.atNextDecision = null;
			this.simulation.history()
				.note(this.name + " is interrupted at "
						+ effects.stream().filter((effect) -> !(effect instanceof Effect.Note)).toList());
			switch (fault.kind()) {
				case FREEZE_AT_DECISION -> freeze(fault.durationMs());
				case SUSPEND_AT_DECISION -> {
					this.monotonicOffset -= fault.durationMs();
					freeze(fault.durationMs());
				}
				default -> terminate(fault.durationMs());
			}
		}
	}

	private static boolean interrupts(Fault fault, Effect effect) {
		return switch (effect) {
			case Effect.Stop _ -> fault.value() == 1;
			case Effect.Start _ -> fault.value() != 1;
			case Effect.Renew renew -> fault.value() != 1 && renew.leaseUntil() > 0;
			default -> false;
		};
	}

	/**
	 * Sends a call and waits for the answer.
	 * @param startsRun whether it is the command to start a run
	 * @param request carries out the call at the receiver
	 * @param refusal the result if the call is refused
	 * @param onResult receives the answer, null if there was none
	 */
	<R> void call(String to, long timeoutMs, boolean startsRun, Consumer<Consumer<R>> request, R refusal,
			Consumer<R> onResult) {
		boolean[] ended = new boolean[1];
		Consumer<R> once = (result) -> {
			if (!ended[0]) {
				ended[0] = true;
				onResult.accept(result);
			}
		};
		int since = this.life;
		this.simulation.network()
			.call(this.name, to, startsRun, request, (R answer) -> resume(since, () -> once.accept(answer)),
					() -> resume(since, () -> once.accept(refusal)));
		after(timeoutMs, () -> once.accept(null));
	}

	/**
	 * Calls the store, directly or through a peer.
	 * @param waitMs how long the store may wait before it answers, in milliseconds
	 */
	<R> void callStore(BiConsumer<SimulatedStore, Consumer<Either<StoreFailure, R>>> call, long waitMs,
			Consumer<Either<StoreFailure, R>> onResult) {
		if (this.simulation.time().now() < this.retryDirectAt) {
			callThroughPeer(call, onResult);
			return;
		}
		this.<Either<StoreFailure, R>>call(SimulatedStore.NAME, waitMs + STORE_TIMEOUT_MS, false, request(call), null,
				(result) -> {
					if (result != null) {
						onResult.accept(result);
					}
					else {
						this.retryDirectAt = this.simulation.time().now() + DIRECT_RETRY_MS;
						callThroughPeer(call, onResult);
					}
				});
	}

	/**
	 * Called when the coordinator of a term has noticed the end of the term.
	 */
	void termEnded(Term ended) {
		this.term = null;
		this.simulation.history().note(this.name + " ends its term " + ended.token());
		revoke(ended.lease(), this::takePart);
	}

	private void revoke(String lease, Runnable onEnd) {
		this.<Boolean>callStore((store, answer) -> answer.accept(store.revoke(lease)), 0, (_) -> onEnd.run());
	}

	private <R> Consumer<Consumer<Either<StoreFailure, R>>> request(
			BiConsumer<SimulatedStore, Consumer<Either<StoreFailure, R>>> call) {
		return (answer) -> {
			if (this.simulation.store().available()) {
				call.accept(this.simulation.store(), answer);
			}
		};
	}

	private <R> void callThroughPeer(BiConsumer<SimulatedStore, Consumer<Either<StoreFailure, R>>> call,
			Consumer<Either<StoreFailure, R>> onResult) {
		Either<StoreFailure, R> failure = Either.left(new StoreFailure.Ambiguous("no answer"));
		List<SimulatedProcess> peers = this.simulation.processes()
			.stream()
			.filter((process) -> process != this && process.up)
			.toList();
		if (peers.isEmpty()) {
			after(RETRY_MS, () -> onResult.accept(failure));
			return;
		}
		SimulatedProcess peer = peers.get(this.random.nextInt(peers.size()));
		this.<Either<StoreFailure, R>>call(peer.name, RELAY_TIMEOUT_MS + RELAY_OVERHEAD_MS, false,
				(answer) -> peer.after(0,
						() -> peer.<Either<StoreFailure, R>>call(SimulatedStore.NAME, RELAY_TIMEOUT_MS, false,
								request(call), null, (result) -> answer.accept((result != null) ? result : failure))),
				null, (result) -> onResult.accept((result != null) ? result : failure));
	}

	private void resume(int since, Runnable action) {
		if (since != this.life) {
			return;
		}
		if (this.frozenUntil > this.simulation.time().now()) {
			this.simulation.time()
				.at(this.frozenUntil + this.random.nextInt(WAKE_JITTER_MS), () -> resume(since, action));
			return;
		}
		action.run();
	}

	private void freeze(long millis) {
		this.frozenUntil = Math.max(this.frozenUntil, this.simulation.time().now() + millis);
	}

	private void terminate(long downMs) {
		this.candidate = false;
		if (this.term != null) {
			this.term.end();
			revoke(this.term.lease(), () -> {
			});
		}
		after(STOP_MS, () -> end(downMs));
	}

	private void end(long downMs) {
		this.simulation.history().note(this.name + " is gone");
		this.up = false;
		this.life++;
		this.simulation.time().after(downMs, () -> {
			if (!this.up) {
				start();
			}
		});
	}

	private void takePart() {
		if (!this.candidate) {
			return;
		}
		this.<KvSnapshot>callStore((store, answer) -> answer.accept(store.list(StoreKeys.COORDINATOR)), 0, (read) -> {
			if (read.isLeft()) {
				after(RETRY_MS, this::takePart);
			}
			else if (!read.get().entries().isEmpty()) {
				awaitKeyChange(read.get().revision(), 0);
			}
			else {
				after(CANDIDACY_DELAY_MS + this.random.nextInt(JITTER_MS), this::campaign);
			}
		});
	}

	private void awaitKeyChange(long revision, int watches) {
		if (watches == WATCHES_PER_READ) {
			takePart();
			return;
		}
		this.<KvSnapshot>callStore(
				(store, answer) -> store.watch(StoreKeys.COORDINATOR, revision, WATCH_TIMEOUT_MS, answer),
				WATCH_TIMEOUT_MS, (changes) -> {
					if (changes.isLeft()) {
						after(RETRY_MS, this::takePart);
					}
					else if (!changes.get().isEmpty()) {
						takePart();
					}
					else {
						awaitKeyChange(changes.get().revision(), watches + 1);
					}
				});
	}

	private void campaign() {
		Moment sentAt = now();
		this.<String>callStore((store, answer) -> answer.accept(store.grant(TERM_MS)), 0,
				(granted) -> granted.peek((lease) -> createKey(lease, sentAt))
					.peekLeft((_) -> after(RETRY_MS, this::takePart)));
	}

	private void createKey(String lease, Moment sentAt) {
		byte[] key = (this.name + " " + this.life + " " + lease).getBytes(StandardCharsets.UTF_8);
		this.<Long>callStore(
				(store, answer) -> answer.accept(store.transact(Transaction.create(StoreKeys.COORDINATOR, key, lease))),
				0, (created) -> {
					long token = created.getOrElseGet((failure) -> ownToken(failure, key));
					if (token > 0) {
						lead(new Term(token, lease, sentAt.plus(TERM_MS), Long.MAX_VALUE));
					}
					else {
						revoke(lease, this::takePart);
					}
				});
	}

	private static long ownToken(StoreFailure failure, byte[] key) {
		return (failure instanceof StoreFailure.Conflict conflict) ? conflict.current()
			.stream()
			.filter((entry) -> Arrays.equals(entry.value(), key))
			.mapToLong((entry) -> entry.revision())
			.findFirst()
			.orElse(0) : 0;
	}

	private void lead(Term elected) {
		this.term = elected;
		this.simulation.history().note(this.name + " begins its term " + elected.token());
		after(TERM_MS / RENEWALS_PER_TERM, () -> renew(elected));
		if (this.candidate) {
			new SimulatedCoordinator(this.simulation, this, elected).start();
		}
		else {
			elected.end();
			termEnded(elected);
		}
	}

	private void renew(Term held) {
		if (held.ended()) {
			return;
		}
		Moment sentAt = now();
		this.<Boolean>callStore((store, answer) -> answer.accept(store.renew(held.lease(), TERM_MS)), 0, (result) -> {
			result.peek((alive) -> {
				if (alive) {
					held.renewedUntil(sentAt.plus(TERM_MS));
				}
				else {
					held.end();
				}
			});
			after(TERM_MS / RENEWALS_PER_TERM, () -> renew(held));
		});
	}

}
