package org.citronrelay.internal.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpEndpoint;
import org.citronrelay.internal.http.HttpLimits;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.platform.HttpVmList;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.time.Ticker;

/**
 * A stand-in for the platform's VM list. A list set with PUT is returned only after a
 * delay, to reproduce a list that lags behind the VMs.
 */
public final class StandInVmList implements AutoCloseable {

	private final Deque<Version> versions = new ArrayDeque<>();

	private final long lagMs;

	private final Ticker ticker;

	private final HttpEndpoint endpoint;

	/**
	 * Starts the service.
	 * @param address where it listens
	 * @param vms the initial list, visible at once
	 * @param lagMs the delay until a change becomes visible, in milliseconds
	 */
	public StandInVmList(Address address, List<Vm> vms, long lagMs, Ticker ticker) {
		this.lagMs = lagMs;
		this.ticker = ticker;
		this.versions.add(new Version(vms, ticker.millis() - lagMs));
		this.endpoint = HttpEndpoint.start(address, HttpLimits.DEFAULT, this::handle);
	}

	@Override
	public void close() {
		this.endpoint.close();
	}

	private synchronized HttpReply handle(HttpCall call) {
		long now = this.ticker.millis();
		if (call.method().equals("PUT")) {
			this.versions.add(new Version(HttpVmList.fromJson(Json.parse(call.body()).getOrElse(Json.object())), now));
			return HttpReply.json(200, Json.object());
		}
		while (this.versions.size() > 1 && successor().setAtMs() + this.lagMs <= now) {
			this.versions.removeFirst();
		}
		return HttpReply.json(200, HttpVmList.toJson(this.versions.getFirst().vms()));
	}

	private Version successor() {
		return this.versions.stream().skip(1).findFirst().orElseThrow();
	}

	private record Version(List<Vm> vms, long setAtMs) {
	}

}
