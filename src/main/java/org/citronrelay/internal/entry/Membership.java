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
 * Which entry processes there are: each registers itself in the key-value service, reads
 * the others there now and then, and hears them by heartbeats in between.
 */
final class Membership {

	/** How long a registration lives without renewal, in milliseconds. */
	static final long REGISTRATION_MS = 90_000;

	/** How often the registration is renewed and the others are read, in milliseconds. */
	static final long REFRESH_MS = 30_000;

	/** How often peers of the same failure domain are called, in milliseconds. */
	static final long NEAR_HEARTBEAT_MS = 1_000;

	/** How often other peers are called, in milliseconds. */
	static final long FAR_HEARTBEAT_MS = 2_000;

	private static final String PREFIX = "/citronrelay/entries/";

	private static final long HEARTBEAT_TIMEOUT_MS = 1_000;

	private final KeyValueService kv;

	private final PeerTable table;

	private final Supplier<PeerStatus> self;

	private final Consumer<PeerStatus> heard;

	private final Ticker ticker;

	private String lease = KeyValueService.NO_LEASE;

	Membership(KeyValueService kv, PeerTable table, Supplier<PeerStatus> self, Consumer<PeerStatus> heard,
			Ticker ticker) {
		this.kv = kv;
		this.table = table;
		this.self = self;
		this.heard = heard;
		this.ticker = ticker;
	}

	/**
	 * Renews the registration and reads the others.
	 */
	void refresh() {
		boolean alive = !this.lease.isEmpty() && this.kv.renew(this.lease).getOrElse(true);
		if (!alive || this.lease.isEmpty()) {
			register();
		}
		this.kv.list(PREFIX).peek((snapshot) -> {
			List<PeerStatus> named = new ArrayList<>();
			snapshot.entries().forEach((entry) -> read(Json.parseOwn(entry.value()), named));
			this.table.named(named, this.ticker.millis());
		});
		this.table.forget(this.ticker.millis());
	}

	/**
	 * Calls the peers whose turn it is.
	 * @param round the number of the round, one each {@link #NEAR_HEARTBEAT_MS}
	 */
	void heartbeat(PeerNode node, ExecutorService executor, long round) {
		PeerStatus status = this.self.get();
		for (Peer peer : this.table.all()) {
			boolean near = peer.status().failureDomain().equals(status.failureDomain());
			if (near || round % (FAR_HEARTBEAT_MS / NEAR_HEARTBEAT_MS) == 0) {
				executor.execute(() -> call(node, peer.status().address(), status));
			}
		}
	}

	/**
	 * Takes the registration back.
	 */
	void leave() {
		if (!this.lease.isEmpty()) {
			this.kv.revoke(this.lease);
		}
	}

	private void call(PeerNode node, Address peer, PeerStatus status) {
		Either<String, PeerMessage> answer = node.call(peer, new PeerMessage.Heartbeat(status), HEARTBEAT_TIMEOUT_MS);
		if (answer.isRight() && answer.get() instanceof PeerMessage.Heartbeat heartbeat) {
			this.heard.accept(heartbeat.status());
		}
	}

	private void register() {
		PeerStatus status = this.self.get();
		Either<KvFailure, String> granted = this.kv.grant(REGISTRATION_MS);
		granted
			.flatMap((newLease) -> this.kv.write(PREFIX + status.process(),
					Json.bytes(Json.object()
						.put("process", status.process())
						.put("failureDomain", status.failureDomain())
						.put("address", status.address().toString())),
					new Expectation.Anything(), newLease))
			.peek((entry) -> this.lease = granted.get())
			.peekLeft((failure) -> Part.PEER.logger().warn("Could not register, {}.", failure.phrase()));
	}

	private void read(JsonNode body, List<PeerStatus> named) {
		String process = body.path("process").asText();
		if (process.equals(this.self.get().process())) {
			return;
		}
		Address.parse(body.path("address").asText())
			.forEach((address) -> named.add(new PeerStatus(process, body.path("failureDomain").asText(), address, 0,
					false, 0, false, 0, List.of())));
	}

}
