package org.citronrelay.internal.cluster;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.time.Pause;

/**
 * Registers this process in the store, under a lease of its own, and reads the addresses
 * of the other processes of the cluster.
 */
final class PeerRegistry {

	/** How long a stopped process stays registered, in milliseconds. */
	private static final long REGISTRATION_TTL_MS = 15_000;

	/** The time between two renewals, in milliseconds. */
	private static final long RENEW_INTERVAL_MS = 4_000;

	private final ClusterSettings settings;

	private final AtomicReference<List<Address>> others = new AtomicReference<>();

	/** The lease of the registration, empty before the first one. */
	private String lease = "";

	/** Whether the registration is known to live under the lease. */
	private boolean registered;

	PeerRegistry(ClusterSettings settings) {
		this.settings = settings;
		this.others.set(settings.seeds().stream().filter((seed) -> !seed.equals(settings.listen().peers())).toList());
	}

	/**
	 * Returns the peer addresses of the other processes: the seeds until registered ones
	 * were read.
	 */
	List<Address> others() {
		return this.others.get();
	}

	void start(ClusterStore store) {
		OwnedRecord registration = new OwnedRecord(store, StoreKeys.PROCESSES + this.settings.process());
		Thread.ofVirtual().name("members").start(() -> {
			do {
				ErrorBoundary.run("read the addresses of peers", () -> refresh(store, registration));
			}
			while (Pause.millis(RENEW_INTERVAL_MS));
		});
	}

	/**
	 * Renews the registration and reads the others.
	 */
	void refresh(ClusterStore store, OwnedRecord registration) {
		boolean alive = !this.lease.isEmpty() && store.renew(this.lease).getOrElse(true);
		if (!alive) {
			this.registered = false;
			this.lease = store.grant(REGISTRATION_TTL_MS).getOrElse("");
		}
		if (!this.registered && !this.lease.isEmpty()) {
			register(registration);
		}
		store.list(StoreKeys.PROCESSES).peek((snapshot) -> {
			List<Address> found = snapshot.entries()
				.stream()
				.flatMap((entry) -> Address.parse(new String(entry.value(), StandardCharsets.UTF_8)).toJavaStream())
				.filter((address) -> !address.equals(this.settings.listen().peers()))
				.toList();
			if (!found.isEmpty()) {
				this.others.set(found);
			}
		});
	}

	private void register(OwnedRecord registration) {
		byte[] address = this.settings.listen().peers().toString().getBytes(StandardCharsets.UTF_8);
		registration.write(address, this.lease, Map.of())
			.peek((revision) -> this.registered = true)
			.peekLeft((failure) -> Part.PEER.logger()
				.atWarn()
				.addKeyValue("reason", failure.message())
				.log("Could not register this process in the store; retries with the next renewal."));
	}

}
