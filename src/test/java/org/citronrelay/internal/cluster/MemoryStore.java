package org.citronrelay.internal.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;

/**
 * A store in memory that can be away or lose its answers.
 */
public final class MemoryStore implements ClusterStore {

	private final Map<String, KvEntry> items = new TreeMap<>();

	private final Map<String, List<String>> leases = new LinkedHashMap<>();

	private long revision = 1;

	private boolean away;

	private boolean deaf;

	private final List<String> lists = new ArrayList<>();

	private int answersToLose;

	private int largestTransaction;

	/**
	 * Lets the store turn every call away, or serve again.
	 */
	public void away(boolean turnsAway) {
		this.away = turnsAway;
	}

	/**
	 * Lets watches hear of no change.
	 */
	synchronized void deaf(boolean hearsNothing) {
		this.deaf = hearsNothing;
	}

	/**
	 * How often a prefix was listed.
	 */
	synchronized long lists(String prefix) {
		return this.lists.stream().filter(prefix::equals).count();
	}

	/**
	 * Lets the next writes take effect without an answer.
	 */
	public void loseAnswers(int writes) {
		this.answersToLose = writes;
	}

	/**
	 * The most entries that one transaction held.
	 */
	int largestTransaction() {
		return this.largestTransaction;
	}

	@Override
	public synchronized Either<StoreFailure, Option<KvEntry>> read(String key) {
		return this.away ? gone() : Either.right(Option.of(this.items.get(key)));
	}

	@Override
	public synchronized Either<StoreFailure, KvSnapshot> list(String prefix) {
		if (this.away) {
			return gone();
		}
		this.lists.add(prefix);
		return Either.right(
				new KvSnapshot(this.items.values().stream().filter((entry) -> entry.key().startsWith(prefix)).toList(),
						List.of(), this.revision));
	}

	@Override
	public synchronized Either<StoreFailure, KvSnapshot> watch(String prefix, long afterRevision, long waitMs) {
		if (this.deaf) {
			pause(waitMs);
			return Either.right(new KvSnapshot(List.of(), List.of(), this.revision));
		}
		return list(prefix).map((all) -> new KvSnapshot(
				all.entries().stream().filter((entry) -> entry.revision() > afterRevision).toList(), List.of(),
				this.revision));
	}

	@Override
	public synchronized Either<StoreFailure, Long> transact(Transaction transaction) {
		if (this.away) {
			return gone();
		}
		int entries = transaction.expected().size() + transaction.puts().size() + transaction.removes().size();
		this.largestTransaction = Math.max(this.largestTransaction, entries);
		if (entries > TRANSACTION_ENTRIES) {
			return Either.left(new StoreFailure.Ambiguous("status 400"));
		}
		boolean holds = transaction.expected()
			.entrySet()
			.stream()
			.allMatch((expected) -> revision(expected.getKey()) == expected.getValue());
		if (!holds) {
			return Either.left(new StoreFailure.Conflict(transaction.expected()
				.keySet()
				.stream()
				.filter(this.items::containsKey)
				.map(this.items::get)
				.toList()));
		}
		this.revision++;
		for (Put put : transaction.puts()) {
			this.items.put(put.key(), new KvEntry(put.key(), put.value(), this.revision));
			this.leases.computeIfAbsent(put.lease(), (lease) -> new ArrayList<>()).add(put.key());
		}
		transaction.removes().forEach(this.items::remove);
		if (this.answersToLose > 0) {
			this.answersToLose--;
			return Either.left(new StoreFailure.Ambiguous("no answer"));
		}
		return Either.right(this.revision);
	}

	@Override
	public synchronized Either<StoreFailure, String> grant(long ttlMs) {
		return this.away ? gone() : Either.right(Long.toString(++this.revision));
	}

	@Override
	public synchronized Either<StoreFailure, Boolean> renew(String lease) {
		return this.away ? gone() : Either.right(true);
	}

	@Override
	public synchronized Either<StoreFailure, Boolean> revoke(String lease) {
		if (this.away) {
			return gone();
		}
		this.leases.getOrDefault(lease, List.of()).forEach(this.items::remove);
		return Either.right(this.leases.remove(lease) != null);
	}

	/**
	 * Waits without keeping others from the store.
	 */
	private void pause(long millis) {
		try {
			wait(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private long revision(String key) {
		KvEntry entry = this.items.get(key);
		return (entry != null) ? entry.revision() : 0;
	}

	private static <T> Either<StoreFailure, T> gone() {
		return Either.left(new StoreFailure.Unavailable("status 503"));
	}

}
