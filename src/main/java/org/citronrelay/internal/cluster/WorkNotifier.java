package org.citronrelay.internal.cluster;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import io.vavr.control.Option;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.http.TimeLimit;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.KvEntry;

/**
 * Notifies the coordinator of jobs and cancellations that were just stored. The
 * coordinator's watch reports them too, but may miss changes for a while. A lost notice
 * only delays the work.
 */
final class WorkNotifier {

	/** The path prefix of a notice; the key without its own prefix follows. */
	static final String PATH = "/work/";

	/** The time limit of a notice; after it the watch is as fast. */
	private static final TimeLimit LIMIT = TimeLimit.total(500);

	private static final int OK = 200;

	private final StoreRoute.Transport transport;

	private final Executor executor;

	private final AtomicReference<Coordinator> localCoordinator;

	private final Supplier<Option<Address>> coordinatorAddress;

	/**
	 * Creates the notifier of a process.
	 * @param localCoordinator the coordinator in this process, null for none
	 * @param coordinatorAddress the peer address of the last known coordinator, none if
	 * unknown
	 */
	WorkNotifier(StoreRoute.Transport transport, Executor executor, AtomicReference<Coordinator> localCoordinator,
			Supplier<Option<Address>> coordinatorAddress) {
		this.transport = transport;
		this.executor = executor;
		this.localCoordinator = localCoordinator;
		this.coordinatorAddress = coordinatorAddress;
	}

	/**
	 * Notifies the coordinator of a record that this process stored; does not wait for
	 * the answer.
	 */
	void notifyStored(String key, byte[] value) {
		Coordinator coordinator = this.localCoordinator.get();
		if (coordinator != null) {
			coordinator.workWritten(new KvEntry(key, value, 0));
			return;
		}
		this.coordinatorAddress.get().peek((address) -> this.executor.execute(() -> send(address, key, value)));
	}

	/**
	 * Handles a notice of a peer; answers 404 if this process is not the coordinator.
	 */
	HttpReply receive(HttpCall call) {
		Coordinator coordinator = this.localCoordinator.get();
		if (coordinator == null) {
			return Problem
				.of(404, "not-the-coordinator", "This process is not the coordinator.",
						"Look up the coordinator in the store.")
				.reply();
		}
		coordinator.workWritten(new KvEntry(StoreKeys.WORK + call.path().substring(PATH.length()), call.body(), 0));
		return HttpReply.json(OK, Json.object());
	}

	private void send(Address address, String key, byte[] value) {
		HttpCall notice = HttpCall.of("POST", PATH + key.substring(StoreKeys.WORK.length())).body(value);
		Exchange exchange = this.transport.exchange(address, notice, LIMIT);
		if (!(exchange instanceof Exchange.Answered answered) || answered.reply().status() != OK) {
			Part.PEER.logger()
				.atDebug()
				.addKeyValue("coordinator", address)
				.addKeyValue("key", key)
				.addKeyValue("outcome", exchange)
				.log("The coordinator did not accept a notice of stored work; its watch will report the work.");
		}
	}

}
