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
 * The state of the stand-in key-value service. Guarded by its own lock.
 */
public final class KvStore {

	private static final int KEPT_CHANGES = 20_000;

	private TreeMap<String, Stored> values = new TreeMap<>();

	private final Map<String, LeaseState> leases = new HashMap<>();

	private List<Change> changes = new ArrayList<>();

	private long revision;

	private long nextLease = 1;

	private Backup backup;

	public synchronized Option<KvEntry> read(String key, long now) {
		expire(now);
		return Option.of(this.values.get(key)).map((stored) -> stored.entry(key));
	}

	public synchronized KvSnapshot list(String prefix, long now) {
		expire(now);
		List<KvEntry> entries = new ArrayList<>();
		this.values.tailMap(prefix)
			.entrySet()
			.stream()
			.takeWhile((value) -> value.getKey().startsWith(prefix))
			.forEach((value) -> entries.add(value.getValue().entry(value.getKey())));
		return new KvSnapshot(entries, List.of(), this.revision);
	}

	public synchronized Either<KvFailure, KvEntry> write(String key, byte[] value, Expectation expectation,
			String lease, long now) {
		expire(now);
		if (!lease.isEmpty() && !this.leases.containsKey(lease)) {
			return Either.left(new KvFailure.LeaseGone(lease));
		}
		Option<KvEntry> current = Option.of(this.values.get(key)).map((stored) -> stored.entry(key));
		if (!holds(expectation, current)) {
			return Either.left(new KvFailure.Conflict(current));
		}
		this.revision++;
		Stored stored = new Stored(value, this.revision, lease);
		this.values.put(key, stored);
		changed(new Change(this.revision, key));
		return Either.right(stored.entry(key));
	}

	public synchronized Either<KvFailure, Boolean> delete(String key, long expected, long now) {
		expire(now);
		Stored stored = this.values.get(key);
		if (stored == null) {
			return Either.right(false);
		}
		if (stored.revision() != expected) {
			return Either.left(new KvFailure.Conflict(Option.some(stored.entry(key))));
		}
		remove(key);
		return Either.right(true);
	}

	public synchronized String grant(long ttlMs, long now) {
		String lease = "lease-" + this.nextLease++;
		this.leases.put(lease, new LeaseState(ttlMs, now + ttlMs));
		return lease;
	}

	public synchronized boolean renew(String lease, long now) {
		expire(now);
		LeaseState state = this.leases.get(lease);
		if (state == null) {
			return false;
		}
		this.leases.put(lease, new LeaseState(state.ttlMs(), now + state.ttlMs()));
		return true;
	}

	public synchronized boolean revoke(String lease, long now) {
		expire(now);
		boolean alive = this.leases.remove(lease) != null;
		dropValuesOf(lease);
		return alive;
	}

	/**
	 * The changes under a prefix after a revision, empty when there are none.
	 */
	public synchronized KvSnapshot changes(String prefix, long after, long now) {
		expire(now);
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
	 * Keeps a copy to be restored later.
	 */
	public synchronized void backUp() {
		this.backup = new Backup(new TreeMap<>(this.values), new ArrayList<>(this.changes), this.revision);
	}

	/**
	 * Goes back to the copy, with its older revision; leases granted since are gone.
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
			.map(Stored::lease)
			.filter((lease) -> !lease.isEmpty())
			.distinct()
			.toList()
			.forEach(this::dropValuesOf);
		return true;
	}

	private boolean holds(Expectation expectation, Option<KvEntry> current) {
		return switch (expectation) {
			case Expectation.Anything _ -> true;
			case Expectation.Absent _ -> current.isEmpty();
			case Expectation.Revision expected -> current.exists((entry) -> entry.revision() == expected.revision());
		};
	}

	private void expire(long now) {
		List<String> lapsed = this.leases.entrySet()
			.stream()
			.filter((lease) -> lease.getValue().deadline() <= now)
			.map(Map.Entry::getKey)
			.toList();
		for (String lease : lapsed) {
			this.leases.remove(lease);
			dropValuesOf(lease);
		}
	}

	private void dropValuesOf(String lease) {
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
		changed(new Change(this.revision, key));
	}

	private void changed(Change change) {
		this.changes.add(change);
		if (this.changes.size() > 2 * KEPT_CHANGES) {
			this.changes = new ArrayList<>(this.changes.subList(KEPT_CHANGES, this.changes.size()));
		}
		notifyAll();
	}

	private record Stored(byte[] value, long revision, String lease) {

		KvEntry entry(String key) {
			return new KvEntry(key, this.value, this.revision);
		}

	}

	private record LeaseState(long ttlMs, long deadline) {
	}

	private record Change(long revision, String key) {
	}

	private record Backup(TreeMap<String, Stored> values, List<Change> changes, long revision) {
	}

}
