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
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.KvEntry;

/**
 * Tells the coordinator of work that was just stored. It would hear of it from its watch,
 * too, but a watch may be deaf for a while. A notice that is lost does no harm.
 */
final class WorkNotices {

	/** What the path of a notice begins with; the key follows. */
	static final String PATH = "/work/";

	/** How long a notice may take, in milliseconds; by then the watch is as fast. */
	private static final long TIMEOUT_MS = 500;

	private static final int OK = 200;

	private final StoreRoute.Line line;

	private final Executor executor;

	private final AtomicReference<Coordinator> local;

	private final Supplier<Option<Address>> coordinator;

	/**
	 * The notices of a process.
	 * @param local the coordinator in this process, null for none
	 * @param coordinator where the process in office is reached, as far as is known
	 */
	WorkNotices(StoreRoute.Line line, Executor executor, AtomicReference<Coordinator> local,
			Supplier<Option<Address>> coordinator) {
		this.line = line;
		this.executor = executor;
		this.local = local;
		this.coordinator = coordinator;
	}

	/**
	 * Tells of a record that this process has stored; returns at once.
	 */
	void stored(String key, byte[] value) {
		Coordinator here = this.local.get();
		if (here != null) {
			here.workWritten(new KvEntry(key, value, 0));
			return;
		}
		this.coordinator.get().peek((address) -> this.executor.execute(() -> send(address, key, value)));
	}

	/**
	 * Takes a notice in.
	 */
	HttpReply take(HttpCall call) {
		Coordinator here = this.local.get();
		if (here == null) {
			return Problem.of(404, "not-the-coordinator", "This process is not in office.", "The store tells who is.")
				.reply();
		}
		here.workWritten(new KvEntry(Keys.WORK + call.path().substring(PATH.length()), call.body(), 0));
		return HttpReply.json(OK, Json.object());
	}

	private void send(Address address, String key, byte[] value) {
		HttpCall notice = HttpCall.of("POST", PATH + key.substring(Keys.WORK.length())).body(value);
		Exchange exchange = this.line.exchange(address, notice, TIMEOUT_MS);
		if (!(exchange instanceof Exchange.Answered answered) || answered.reply().status() != OK) {
			Part.PEER.logger()
				.atDebug()
				.addKeyValue("coordinator", address)
				.addKeyValue("key", key)
				.addKeyValue("outcome", exchange)
				.log("A notice of stored work was not taken; the watch brings it.");
		}
	}

}
