package org.citronrelay.internal.cluster;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.citronrelay.internal.batch.VmRegistration;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.platform.KeyValueService.KvSnapshot;
import org.citronrelay.internal.platform.KvEntry;

/**
 * The store of a simulation: one revision, conditional transactions, leases, and the
 * registrations of VMs, which lapse without heartbeats.
 */
final class SimulatedStore {

	static final String NAME = "S";

	static final String VMS = "servers/";

	/** How long a registration stays without a heartbeat, in milliseconds. */
	static final long REGISTRATION_LAPSE_MS = 4_500;

	private static final long SWEEP_MS = 250;

	private final VirtualTime time;

	private final Map<String, KvEntry> entries = new TreeMap<>();

	private final Map<String, String> leaseOfKey = new HashMap<>();

	/** When each lease ends. */
	private final Map<String, Long> leases = new LinkedHashMap<>();

	private final Map<String, Long> heartbeats = new LinkedHashMap<>();

	private final List<VmRegistration> registrations = new ArrayList<>();

	/** The changed keys by revision. */
	private final TreeMap<Long, List<String>> history = new TreeMap<>();

	private final List<Watch> watches = new ArrayList<>();

	private long revision = 100;

	private boolean away;

	SimulatedStore(VirtualTime time) {
		this.time = time;
		time.after(SWEEP_MS, this::sweepRegistrations);
	}

	/**
	 * Takes the store away for a time.
	 */
	void apply(Fault fault) {
		if (this.away) {
			return;
		}
		long now = this.time.now();
		Map<String, Long> remaining = new LinkedHashMap<>();
		this.leases.forEach((lease, endsAt) -> remaining.put(lease, endsAt - now));
		this.away = true;
		List<Watch> cut = List.copyOf(this.watches);
		this.watches.clear();
		cut.forEach((watch) -> watch.onAnswer().accept(Either.left(new StoreFailure.Unavailable("the watch was cut"))));
		if (fault.kind() == Fault.Kind.STORE_AWAY_DROPPING) {
			List.copyOf(this.leases.keySet()).forEach(this::endLease);
		}
		this.time.after(fault.durationMs(), () -> {
			this.away = false;
			if (fault.kind() == Fault.Kind.STORE_AWAY_PAUSING) {
				remaining.forEach((lease, remainingMs) -> extend(lease, remainingMs));
				this.heartbeats.replaceAll((key, at) -> at + fault.durationMs());
			}
			else {
				List.copyOf(this.leases.keySet()).forEach(this::endLeaseIfDue);
			}
		});
	}

	/**
	 * Whether calls are answered.
	 */
	boolean available() {
		return !this.away;
	}

	Either<StoreFailure, KvSnapshot> list(String prefix) {
		return Either.right(new KvSnapshot(
				this.entries.values().stream().filter((entry) -> entry.key().startsWith(prefix)).toList(), List.of(),
				this.revision));
	}

	/**
	 * Answers once something under a prefix has changed, or after a time.
	 */
	void watch(String prefix, long after, long waitMs, Consumer<Either<StoreFailure, KvSnapshot>> onAnswer) {
		Watch watch = new Watch(prefix, after, onAnswer);
		if (!answerIfChanged(watch)) {
			this.watches.add(watch);
			this.time.after(waitMs, () -> {
				if (this.watches.remove(watch)) {
					onAnswer.accept(Either.right(new KvSnapshot(List.of(), List.of(), this.revision)));
				}
			});
		}
	}

	Either<StoreFailure, Long> transact(Transaction transaction) {
		boolean holds = transaction.expected()
			.entrySet()
			.stream()
			.allMatch((expected) -> revision(expected.getKey()) == expected.getValue());
		if (!holds) {
			return Either.left(new StoreFailure.Conflict(transaction.expected()
				.keySet()
				.stream()
				.sorted()
				.filter(this.entries::containsKey)
				.map(this.entries::get)
				.toList()));
		}
		for (ClusterStore.Put put : transaction.puts()) {
			if (!put.lease().isEmpty() && !this.leases.containsKey(put.lease())) {
				return Either.left(new StoreFailure.LeaseGone(put.lease()));
			}
		}
		this.revision++;
		transaction.puts().forEach((put) -> {
			this.entries.put(put.key(), new KvEntry(put.key(), put.value(), this.revision));
			this.leaseOfKey.put(put.key(), put.lease());
			this.history.computeIfAbsent(this.revision, (_) -> new ArrayList<>()).add(put.key());
		});
		transaction.removes()
			.stream()
			.filter((key) -> this.entries.remove(key) != null)
			.forEach((key) -> this.history.computeIfAbsent(this.revision, (_) -> new ArrayList<>()).add(key));
		notifyWatches();
		return Either.right(this.revision);
	}

	Either<StoreFailure, String> grant(long ttlMs) {
		String lease = "L" + this.leases.size() + "-" + ++this.revision;
		extend(lease, ttlMs);
		return Either.right(lease);
	}

	Either<StoreFailure, Boolean> renew(String lease, long ttlMs) {
		boolean alive = this.leases.containsKey(lease);
		if (alive) {
			extend(lease, ttlMs);
		}
		return Either.right(alive);
	}

	Either<StoreFailure, Boolean> revoke(String lease) {
		return Either.right(endLease(lease));
	}

	/**
	 * Stores the registration of a VM.
	 */
	void heartbeat(VmRegistration registration) {
		this.heartbeats.put(VMS + registration.id(), this.time.now());
		register(registration);
	}

	/**
	 * Stores a registration that needs no heartbeats.
	 */
	void register(VmRegistration registration) {
		KvEntry present = this.entries.get(VMS + registration.id());
		if (present != null && registration(present).equals(registration)) {
			return;
		}
		this.registrations.add(registration);
		put(VMS + registration.id(),
				Integer.toString(this.registrations.size() - 1).getBytes(StandardCharsets.US_ASCII));
	}

	VmRegistration registration(KvEntry entry) {
		return this.registrations.get(Integer.parseInt(new String(entry.value(), StandardCharsets.US_ASCII)));
	}

	void put(String key, byte[] value) {
		transact(new Transaction(Map.of(), List.of(new ClusterStore.Put(key, value, "")), List.of()));
	}

	void remove(String key) {
		this.heartbeats.remove(key);
		if (this.entries.remove(key) != null) {
			this.history.put(++this.revision, List.of(key));
			notifyWatches();
		}
	}

	/**
	 * Returns the value of a key, null if there is none.
	 */
	byte[] value(String key) {
		KvEntry entry = this.entries.get(key);
		return (entry != null) ? entry.value() : null;
	}

	private void sweepRegistrations() {
		if (!this.away) {
			long now = this.time.now();
			List.copyOf(this.heartbeats.keySet())
				.stream()
				.filter((key) -> now - this.heartbeats.get(key) > REGISTRATION_LAPSE_MS)
				.forEach(this::remove);
		}
		this.time.after(SWEEP_MS, this::sweepRegistrations);
	}

	private void extend(String lease, long ttlMs) {
		this.leases.put(lease, this.time.now() + ttlMs);
		this.time.after(ttlMs, () -> {
			if (!this.away) {
				endLeaseIfDue(lease);
			}
		});
	}

	private void endLeaseIfDue(String lease) {
		if (this.leases.getOrDefault(lease, Long.MAX_VALUE) <= this.time.now()) {
			endLease(lease);
		}
	}

	private boolean endLease(String lease) {
		if (this.leases.remove(lease) == null) {
			return false;
		}
		List.copyOf(this.entries.keySet())
			.stream()
			.filter((key) -> lease.equals(this.leaseOfKey.get(key)))
			.forEach(this::remove);
		return true;
	}

	private long revision(String key) {
		KvEntry entry = this.entries.get(key);
		return (entry != null) ? entry.revision() : 0;
	}

	private void notifyWatches() {
		List.copyOf(this.watches).forEach((watch) -> {
			if (answerIfChanged(watch)) {
				this.watches.remove(watch);
			}
		});
	}

	private boolean answerIfChanged(Watch watch) {
		List<String> changed = this.history.tailMap(watch.after(), false)
			.values()
			.stream()
			.flatMap(List::stream)
			.filter((key) -> key.startsWith(watch.prefix()))
			.distinct()
			.toList();
		if (changed.isEmpty()) {
			return false;
		}
		List<KvEntry> written = changed.stream().filter(this.entries::containsKey).map(this.entries::get).toList();
		List<String> deleted = changed.stream().filter((key) -> !this.entries.containsKey(key)).toList();
		watch.onAnswer().accept(Either.right(new KvSnapshot(written, deleted, this.revision)));
		return true;
	}

	private record Watch(String prefix, long after, Consumer<Either<StoreFailure, KvSnapshot>> onAnswer) {
	}

}
