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
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * Makes one process at a time the coordinator: whoever creates a key under its lease.
 */
final class Election implements Runnable {

	/** How many times a term is renewed within its length. */
	private static final int RENEWALS_A_TERM = 4;

	/** How long a watch for a change of office waits, in milliseconds. */
	private static final long WATCH_MS = 2_000;

	/** How many watches without a change come between two reads of the key. */
	private static final int WATCHES_A_READ = 2;

	/** How long to wait after a failed call to the store. */
	private static final long RETRY_MS = 200;

	/** How far candidates that saw the same vacancy spread their attempts. */
	private static final int SPREAD_MS = 20;

	private final ClusterStore store;

	private final Ticker ticker;

	private final Candidate self;

	private final long termMs;

	private final Consumer<Term> office;

	private volatile boolean candidate = true;

	private volatile Term current;

	private volatile Option<Address> coordinator = Option.none();

	/**
	 * An election for a process.
	 * @param office does the coordinator's work until the term is over
	 */
	Election(ClusterStore store, Ticker ticker, Candidate self, long termMs, Consumer<Term> office) {
		this.store = store;
		this.ticker = ticker;
		this.self = self;
		this.termMs = termMs;
		this.office = office;
	}

	@Override
	public void run() {
		while (this.candidate) {
			Either<StoreFailure, KvSnapshot> read = this.store.list(Keys.COORDINATOR);
			if (read.isLeft()) {
				Pause.millis(RETRY_MS);
			}
			else if (!read.get().entries().isEmpty()) {
				this.coordinator = address(read.get().entries().getFirst().value());
				awaitVacancy(read.get().revision());
			}
			else {
				Pause.millis(this.self.handicapMs() + ThreadLocalRandom.current().nextInt(SPREAD_MS));
				campaign();
			}
		}
	}

	/**
	 * Where the process in office is reached, as far as is known.
	 */
	Option<Address> coordinator() {
		return this.coordinator;
	}

	/**
	 * Gives up office and does not run again.
	 */
	void withdraw() {
		this.candidate = false;
		Term term = this.current;
		if (term != null) {
			term.end();
			this.store.revoke(term.lease());
		}
	}

	private void awaitVacancy(long revision) {
		long since = revision;
		for (int watches = 0; this.candidate && watches < WATCHES_A_READ; watches++) {
			Either<StoreFailure, KvSnapshot> changes = this.store.watch(Keys.COORDINATOR, since, WATCH_MS);
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
		long asked = this.ticker.millis();
		this.store.grant(this.termMs).peek((lease) -> {
			byte[] record = (this.self.peers() + " " + this.self.identity() + " " + lease)
				.getBytes(StandardCharsets.UTF_8);
			Either<StoreFailure, Long> won = this.store.transact(Transaction.create(Keys.COORDINATOR, record, lease));
			long token = won.getOrElseGet((failure) -> ownToken(failure, record));
			if (token > 0) {
				serve(new Term(token, lease, asked + this.termMs));
			}
			else {
				this.store.revoke(lease);
			}
		}).peekLeft((failure) -> Pause.millis(RETRY_MS));
	}

	/**
	 * The token of a record that this process wrote though it got no answer, 0 for none.
	 */
	private static long ownToken(StoreFailure failure, byte[] record) {
		if (failure instanceof StoreFailure.Conflict conflicts) {
			return conflicts.current()
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

	private void serve(Term term) {
		this.current = term;
		Part.HOLDER.logger().atInfo().addKeyValue("token", term.token()).log("Took office as coordinator.");
		Thread renewer = Thread.ofVirtual().name("term").start(() -> renew(term));
		try {
			if (this.candidate) {
				this.office.accept(term);
			}
		}
		finally {
			term.end();
			renewer.interrupt();
			this.current = null;
			this.store.revoke(term.lease());
			Part.HOLDER.logger().atInfo().addKeyValue("token", term.token()).log("Left office as coordinator.");
		}
	}

	private void renew(Term term) {
		while (!term.over() && Pause.millis(this.termMs / RENEWALS_A_TERM)) {
			long asked = this.ticker.millis();
			this.store.renew(term.lease()).peek((alive) -> {
				if (alive) {
					term.renewed(asked + this.termMs);
				}
				else {
					Part.HOLDER.logger().atWarn().addKeyValue("token", term.token()).log("The term has run out.");
					term.end();
				}
			});
		}
	}

	/**
	 * A process that may take office.
	 *
	 * @param identity tells this start of this process from all others
	 * @param peers where other processes reach it
	 * @param cores how fast its machine is, in cores
	 */
	record Candidate(String identity, Address peers, double cores) {

		/** How much later than others a machine of one core tries, in milliseconds. */
		private static final double HANDICAP_MS = 40;

		/** The longest handicap: a slow machine is better than none, in milliseconds. */
		private static final double MOST_HANDICAP_MS = 120;

		/**
		 * How much later than others it tries, so that the work goes to a fast machine.
		 */
		long handicapMs() {
			return (long) Math.min(MOST_HANDICAP_MS, HANDICAP_MS / Math.max(this.cores, Double.MIN_NORMAL));
		}

	}

}
