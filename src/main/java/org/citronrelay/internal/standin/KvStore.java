package org.citronrelay.internal.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.internal.platform.Expectation;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.platform.KvFailure;

/**
 * The entries, leases and change history of the stand-in key-value service. Each call
 * first deletes the entries of expired leases. All times are monotonic milliseconds.
 * Thread-safe.
 */
public final class KvStore {

	/**
	 * The minimum number of changes retained for watches. The oldest are dropped when
	 * there are more than twice as many.
	 */
	private static final int RETAINED_CHANGES = 20_000;

	private TreeMap<String, StoredValue> values = new TreeMap<>();

	private final Map<String, LeaseState> leases = new HashMap<>();

	private List<Change> changes = new ArrayList<>();

	private long revision;

	private long nextLease = 1;

	private Backup backup;

	/**
	 * Returns the entry of a key, none if there is none.
	 */
	public synchronized Option<KvEntry> read(String key, long now) {
		expireLeases(now);
		return Option.of(this.values.get(key)).map((stored) -> stored.entry(key));
	}

	/**
	 * Returns all entries whose keys start with a prefix, in the order of their keys.
	 */
	public synchronized KvSnapshot list(String prefix, long now) {
		expireLeases(now);
		List<KvEntry> entries = new ArrayList<>();
		this.values.tailMap(prefix)
			.entrySet()
			.stream()
			.takeWhile((value) -> value.getKey().startsWith(prefix))
			.forEach((value) -> entries.add(value.getValue().entry(value.getKey())));
		return new KvSnapshot(entries, List.of(), this.revision);
	}

	/**
	 * Writes a value if the current entry meets the expectation.
	 * @param lease the lease whose end deletes the entry, empty for none
	 * @return the new entry, or a conflict or an unknown lease
	 */
	public synchronized Either<KvFailure, KvEntry> write(String key, byte[] value, Expectation expectation,
			String lease, long now) {
		expireLeases(now);
		if (!lease.isEmpty() && !this.leases.containsKey(lease)) {
			return Either.left(new KvFailure.LeaseGone(lease));
		}
		Option<KvEntry> current = Option.of(this.values.get(key)).map((stored) -> stored.entry(key));
		if (!isMet(expectation, current)) {
			return Either.left(new KvFailure.Conflict(current));
		}
		this.revision++;
		StoredValue stored = new StoredValue(value, this.revision, lease);
		this.values.put(key, stored);
		recordChange(new Change(this.revision, key));
		return Either.right(stored.entry(key));
	}

	/**
	 * Deletes an entry if it has the expected revision.
	 * @return whether there was an entry, or a conflict
	 */
	public synchronized Either<KvFailure, Boolean> delete(String key, long expected, long now) {
		expireLeases(now);
		StoredValue stored = this.values.get(key);
		if (stored == null) {
			return Either.right(false);
		}
		if (stored.revision() != expected) {
			return Either.left(new KvFailure.Conflict(Option.some(stored.entry(key))));
		}
		remove(key);
		return Either.right(true);
	}

	/**
	 * Grants a lease and returns its id.
	 */
	public synchronized String grant(long ttlMs, long now) {
		String lease = "lease-" + this.nextLease++;
		this.leases.put(lease, new LeaseState(ttlMs, now + ttlMs));
		return lease;
	}

	/**
	 * Extends a lease by its time to live.
	 * @return false if the lease has expired or was revoked
	 */
	public synchronized boolean renew(String lease, long now) {
		expireLeases(now);
		LeaseState state = this.leases.get(lease);
		if (state == null) {
			return false;
		}
		this.leases.put(lease, new LeaseState(state.ttlMs(), now + state.ttlMs()));
		return true;
	}

	/**
	 * Ends a lease and deletes its entries.
	 * @return false if the lease had already ended
	 */
	public synchronized boolean revoke(String lease, long now) {
		expireLeases(now);
		boolean alive = this.leases.remove(lease) != null;
		deleteEntriesOf(lease);
		return alive;
	}

	/**
	 * Returns the current entries and the deleted keys under a prefix that changed after
	 * a revision; empty if there are none.
	 */
	public synchronized KvSnapshot changes(String prefix, long after, long now) {
		expireLeases(now);
		TreeMap<String, Boolean> keys = new TreeMap<>();
		for (Change change : this.changes.reversed()) {
			if (change.revision() <= after) {
				break;
			}
			if (change.key().startsWith(prefix)) {
				keys.put(change.key(), true);
			}
		}
		List<KvEntry> entries = new ArrayList<>();
		List<String> deleted = new ArrayList<>();
		for (String key : keys.keySet()) {
			Option.of(this.values.get(key))
				.peek((stored) -> entries.add(stored.entry(key)))
				.onEmpty(() -> deleted.add(key));
		}
		return new KvSnapshot(entries, deleted, this.revision);
	}

	/**
	 * Saves a copy of the entries, the change history and the revision, in place of the
	 * previous copy.
	 */
	public synchronized void backUp() {
		this.backup = new Backup(new TreeMap<>(this.values), new ArrayList<>(this.changes), this.revision);
	}

	/**
	 * Replaces the state with the saved copy, so that the revision goes back. All leases
	 * end, and entries written under a lease are deleted.
	 * @return false if no copy has been saved
	 */
	public synchronized boolean restore() {
		if (this.backup == null) {
			return false;
		}
		this.values = new TreeMap<>(this.backup.values());
		this.changes = new ArrayList<>(this.backup.changes());
		this.revision = this.backup.revision();
		this.leases.clear();
		this.values.values()
			.stream()
			.map(StoredValue::lease)
			.filter((lease) -> !lease.isEmpty())
			.distinct()
			.toList()
			.forEach(this::deleteEntriesOf);
		return true;
	}

	private boolean isMet(Expectation expectation, Option<KvEntry> current) {
		return switch (expectation) {
			case Expectation.Unconditional _ -> true;
			case Expectation.Absent _ -> current.isEmpty();
			case Expectation.Revision expected -> current.exists((entry) -> entry.revision() == expected.revision());
		};
	}

	private void expireLeases(long now) {
		List<String> expired = this.leases.entrySet()
			.stream()
			.filter((lease) -> lease.getValue().expiresAtMs() <= now)
			.map(Map.Entry::getKey)
			.toList();
		for (String lease : expired) {
			this.leases.remove(lease);
			deleteEntriesOf(lease);
		}
	}

	private void deleteEntriesOf(String lease) {
		List<String> keys = this.values.entrySet()
			.stream()
			.filter((value) -> value.getValue().lease().equals(lease))
			.map(Map.Entry::getKey)
			.toList();
		keys.forEach(this::remove);
	}

	private void remove(String key) {
		this.values.remove(key);
		this.revision++;
		recordChange(new Change(this.revision, key));
	}

	private void recordChange(Change change) {
		this.changes.add(change);
		if (this.changes.size() > 2 * RETAINED_CHANGES) {
			this.changes = new ArrayList<>(this.changes.subList(RETAINED_CHANGES, this.changes.size()));
		}
		notifyAll();
	}

	private record StoredValue(byte[] value, long revision, String lease) {

		KvEntry entry(String key) {
			return new KvEntry(key, this.value, this.revision);
		}

	}

	private record LeaseState(long ttlMs, long expiresAtMs) {
	}

	private record Change(long revision, String key) {
	}

	private record Backup(TreeMap<String, StoredValue> values, List<Change> changes, long revision) {
	}

}
