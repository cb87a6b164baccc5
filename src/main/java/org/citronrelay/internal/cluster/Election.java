package org.citronrelay.internal.cluster;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.schedule.Moment;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * Elects one process at a time as coordinator: the one that creates the coordinator key
 * under its own lease. The key disappears when the lease ends, and the other processes
 * try to create it again.
 */
final class Election implements Runnable {

	/** How many renewals are sent within the length of a term. */
	private static final int RENEWALS_PER_TERM = 4;

	/** How long one watch call waits for a change of the key, in milliseconds. */
	private static final long WATCH_TIMEOUT_MS = 2_000;

	/** How many watch calls without a change come between two reads of the key. */
	private static final int WATCHES_PER_READ = 2;

	/** The pause after a failed call to the store, in milliseconds. */
	private static final long RETRY_MS = 200;

	/**
	 * The pause after an unexpected error, in milliseconds: long enough for another
	 * process to become coordinator.
	 */
	private static final long ERROR_PAUSE_MS = 1_000;

	/**
	 * For how many lengths of a term all loads and writes of a coordinator may fail
	 * before it gives up; twice as many each time that the process has given up in a row,
	 * so that a process that is slow, but no slower than the others, gets done in the
	 * end.
	 */
	private static final int PATIENCE_IN_TERMS = 3;

	private static final int MAX_PATIENCE_DOUBLINGS = 5;

	/**
	 * Bound of the random delay that keeps candidates from colliding, in milliseconds.
	 */
	private static final int JITTER_MS = 20;

	private final ClusterStore store;

	private final Ticker ticker;

	private final Candidate self;

	private final long termMs;

	private final Consumer<Term> coordinate;

	private volatile boolean candidate = true;

	/** How many terms in a row this process has given up. */
	private int termsGivenUp;

	private volatile Term currentTerm;

	private volatile Option<Address> coordinatorAddress = Option.none();

	/**
	 * Creates the election of a process.
	 * @param coordinate does the coordinator's work and returns once the term has ended
	 */
	Election(ClusterStore store, Ticker ticker, Candidate self, long termMs, Consumer<Term> coordinate) {
		this.store = store;
		this.ticker = ticker;
		this.self = self;
		this.termMs = termMs;
		this.coordinate = coordinate;
	}

	@Override
	public void run() {
		while (this.candidate) {
			if (!ErrorBoundary.run("take part in the election", this::takePart)) {
				Pause.millis(ERROR_PAUSE_MS);
			}
		}
	}

	private void takePart() {
		Either<StoreFailure, KvSnapshot> read = this.store.list(StoreKeys.COORDINATOR);
		if (read.isLeft()) {
			Pause.millis(RETRY_MS);
		}
		else if (!read.get().entries().isEmpty()) {
			this.coordinatorAddress = address(read.get().entries().getFirst().value());
			awaitKeyChange(read.get().revision());
		}
		else {
			Pause.millis(this.self.candidacyDelayMs() + ThreadLocalRandom.current().nextInt(JITTER_MS));
			campaign();
		}
	}

	/**
	 * Returns the peer address in the coordinator key as it was last read, none before
	 * that. The coordinator may have changed since.
	 */
	Option<Address> coordinatorAddress() {
		return this.coordinatorAddress;
	}

	/**
	 * Ends the current term of this process and revokes its lease, if there is one. The
	 * process is no longer a candidate.
	 */
	void withdraw() {
		this.candidate = false;
		Term term = this.currentTerm;
		if (term != null) {
			term.end();
			this.store.revoke(term.lease());
		}
	}

	private void awaitKeyChange(long revision) {
		long since = revision;
		for (int watches = 0; this.candidate && watches < WATCHES_PER_READ; watches++) {
			Either<StoreFailure, KvSnapshot> changes = this.store.watch(StoreKeys.COORDINATOR, since, WATCH_TIMEOUT_MS);
			if (changes.isLeft()) {
				Pause.millis(RETRY_MS);
				return;
			}
			if (!changes.get().isEmpty()) {
				return;
			}
			since = changes.get().revision();
		}
	}

	private void campaign() {
		Moment sentAt = now();
		this.store.grant(this.termMs).peek((lease) -> {
			byte[] record = (this.self.peerAddress() + " " + this.self.identity() + " " + lease)
				.getBytes(StandardCharsets.UTF_8);
			Either<StoreFailure, Long> created = this.store
				.transact(Transaction.create(StoreKeys.COORDINATOR, record, lease));
			long token = created.getOrElseGet((failure) -> ownToken(failure, record));
			if (token > 0) {
				lead(new Term(token, lease, sentAt.plus(this.termMs), patienceMs()));
			}
			else {
				this.store.revoke(lease);
			}
		}).peekLeft((failure) -> Pause.millis(RETRY_MS));
	}

	/**
	 * Returns the token of a record that an unanswered write of this process created, 0
	 * if there is none.
	 */
	private static long ownToken(StoreFailure failure, byte[] record) {
		if (failure instanceof StoreFailure.Conflict conflict) {
			return conflict.current()
				.stream()
				.filter((entry) -> Arrays.equals(entry.value(), record))
				.mapToLong(KvEntry::revision)
				.findFirst()
				.orElse(0);
		}
		return 0;
	}

	private static Option<Address> address(byte[] record) {
		return Address.parse(new String(record, StandardCharsets.UTF_8).split(" ")[0]);
	}

	private void lead(Term term) {
		this.currentTerm = term;
		Part.HOLDER.logger().atInfo().addKeyValue("token", term.token()).log("Elected as coordinator; a term begins.");
		Thread renewer = Thread.ofVirtual().name("term").start(() -> renew(term));
		try {
			if (this.candidate) {
				this.coordinate.accept(term);
			}
		}
		finally {
			term.end();
			renewer.interrupt();
			this.currentTerm = null;
			this.store.revoke(term.lease());
			Part.HOLDER.logger().atInfo().addKeyValue("token", term.token()).log("The term as coordinator has ended.");
		}
		if (term.givenUp()) {
			this.termsGivenUp++;
			Part.HOLDER.logger()
				.atWarn()
				.addKeyValue("token", term.token())
				.addKeyValue("termsGivenUp", this.termsGivenUp)
				.log("Gave up the term, as all loads and writes failed although the lease was renewed; lets other "
						+ "processes become coordinator first.");
			Pause.millis(this.termMs);
		}
		else if (term.madeProgress()) {
			this.termsGivenUp = 0;
		}
	}

	private long patienceMs() {
		return this.termMs * PATIENCE_IN_TERMS << Math.min(MAX_PATIENCE_DOUBLINGS, this.termsGivenUp);
	}

	private Moment now() {
		return new Moment(this.ticker.millis(), System.currentTimeMillis());
	}

	private void renew(Term term) {
		while (!term.ended() && Pause.millis(this.termMs / RENEWALS_PER_TERM)) {
			Moment sentAt = now();
			ErrorBoundary.run("renew the coordinator's lease", () -> renewOnce(term, sentAt));
		}
	}

	private void renewOnce(Term term, Moment sentAt) {
		this.store.renew(term.lease()).peek((alive) -> {
			if (alive) {
				term.renewedUntil(sentAt.plus(this.termMs));
			}
			else {
				Part.HOLDER.logger()
					.atWarn()
					.addKeyValue("token", term.token())
					.addKeyValue("remainingMs", term.remainingMs(now()))
					.log("The lease of the coordinator has expired; the term ends.");
				term.end();
			}
		});
	}

	/**
	 * A process that may become coordinator.
	 *
	 * @param identity unique to this start of the process
	 * @param peerAddress where other processes reach this one
	 * @param cores the processor time of the process, in cores
	 */
	record Candidate(String identity, Address peerAddress, double cores) {

		/** The candidacy delay of a process with one core, in milliseconds. */
		private static final double SINGLE_CORE_DELAY_MS = 40;

		/**
		 * The longest candidacy delay, in milliseconds: a slow coordinator is better than
		 * none.
		 */
		private static final double MAX_DELAY_MS = 120;

		/**
		 * Returns how long the process waits before it tries to become coordinator, in
		 * milliseconds: the fewer cores, the longer, so that a fast machine wins.
		 */
		long candidacyDelayMs() {
			return (long) Math.min(MAX_DELAY_MS, SINGLE_CORE_DELAY_MS / Math.max(this.cores, Double.MIN_NORMAL));
		}

	}

}
