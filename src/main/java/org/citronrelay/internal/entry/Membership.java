package org.citronrelay.internal.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.peer.PeerMessage;
import org.citronrelay.internal.peer.PeerNode;
import org.citronrelay.internal.peer.PeerStatus;
import org.citronrelay.internal.peer.PeerTable;
import org.citronrelay.internal.peer.PeerTable.Peer;
import org.citronrelay.internal.platform.Expectation;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.time.Ticker;

/**
 * Keeps track of the entry processes. Each registers itself in the key-value service,
 * reads the other registrations periodically, and exchanges heartbeats with the others.
 */
final class Membership {

	/** How long a registration lasts without renewal, in milliseconds. */
	static final long REGISTRATION_TTL_MS = 90_000;

	/**
	 * How often the registration is renewed and those of the others are read, in
	 * milliseconds.
	 */
	static final long REFRESH_MS = 30_000;

	/** How often peers of the same failure domain are called, in milliseconds. */
	static final long LOCAL_HEARTBEAT_MS = 1_000;

	/** How often peers of other failure domains are called, in milliseconds. */
	static final long REMOTE_HEARTBEAT_MS = 2_000;

	private static final String KEY_PREFIX = "/citronrelay/entries/";

	private static final long HEARTBEAT_TIMEOUT_MS = 1_000;

	private final KeyValueService kv;

	private final PeerTable table;

	private final Supplier<PeerStatus> ownStatus;

	private final Consumer<PeerStatus> statusListener;

	private final Ticker ticker;

	private String lease = KeyValueService.NO_LEASE;

	Membership(KeyValueService kv, PeerTable table, Supplier<PeerStatus> ownStatus, Consumer<PeerStatus> statusListener,
			Ticker ticker) {
		this.kv = kv;
		this.table = table;
		this.ownStatus = ownStatus;
		this.statusListener = statusListener;
		this.ticker = ticker;
	}

	/**
	 * Renews the registration of this process, reads those of the others, and removes
	 * peers that have not reported their status for a long time.
	 */
	void refresh() {
		boolean alive = !this.lease.isEmpty() && this.kv.renew(this.lease).getOrElse(true);
		if (!alive || this.lease.isEmpty()) {
			register();
		}
		this.kv.list(KEY_PREFIX).peek((snapshot) -> {
			List<PeerStatus> registered = new ArrayList<>();
			snapshot.entries().forEach((entry) -> readRegistration(Json.parseTrusted(entry.value()), registered));
			this.table.addRegistered(registered, this.ticker.millis());
		});
		this.table.removeExpired(this.ticker.millis());
	}

	/**
	 * Sends heartbeats to the peers that are due in this round: those of the same failure
	 * domain in each round, all others every {@link #REMOTE_HEARTBEAT_MS}.
	 * @param node sends the calls
	 * @param executor runs the calls, so that this method does not wait for answers
	 * @param round the number of the round; one starts every {@link #LOCAL_HEARTBEAT_MS}
	 */
	void heartbeat(PeerNode node, ExecutorService executor, long round) {
		PeerStatus status = this.ownStatus.get();
		for (Peer peer : this.table.all()) {
			boolean local = peer.status().failureDomain().equals(status.failureDomain());
			if (local || round % (REMOTE_HEARTBEAT_MS / LOCAL_HEARTBEAT_MS) == 0) {
				executor.execute(() -> call(node, peer.status().address(), status));
			}
		}
	}

	/**
	 * Removes the registration of this process.
	 */
	void deregister() {
		if (!this.lease.isEmpty()) {
			this.kv.revoke(this.lease);
		}
	}

	private void call(PeerNode node, Address peer, PeerStatus status) {
		Either<String, PeerMessage> answer = node.call(peer, new PeerMessage.Heartbeat(status), HEARTBEAT_TIMEOUT_MS);
		if (answer.isRight() && answer.get() instanceof PeerMessage.Heartbeat heartbeat) {
			this.statusListener.accept(heartbeat.status());
		}
	}

	private void register() {
		PeerStatus status = this.ownStatus.get();
		Either<KvFailure, String> granted = this.kv.grant(REGISTRATION_TTL_MS);
		granted
			.flatMap((newLease) -> this.kv.write(KEY_PREFIX + status.process(),
					Json.bytes(Json.object()
						.put("process", status.process())
						.put("failureDomain", status.failureDomain())
						.put("address", status.address().toString())),
					new Expectation.Unconditional(), newLease))
			.peek((entry) -> this.lease = granted.get())
			.peekLeft((failure) -> Part.PEER.logger()
				.warn("Could not register this entry process in the key-value service: {}; trying again at the next refresh.",
						failure.message()));
	}

	private void readRegistration(JsonNode body, List<PeerStatus> registered) {
		String process = body.path("process").asText();
		if (process.equals(this.ownStatus.get().process())) {
			return;
		}
		Address.parse(body.path("address").asText())
			.forEach((address) -> registered.add(new PeerStatus(process, body.path("failureDomain").asText(), address,
					0, false, 0, false, 0, List.of())));
	}

}
