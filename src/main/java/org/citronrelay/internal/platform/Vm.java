package org.citronrelay.internal.platform;

import java.util.Objects;

import org.citronrelay.internal.http.Address;

/**
 * A backend server as described by the VM list.
 *
 * @param id the id of the VM
 * @param failureDomain the failure domain it belongs to
 * @param rack the rack it runs in
 * @param address the address that its worker process listens on
 * @param accelerators number of accelerators, at most 64
 * @param cores number of processor cores
 * @param memoryGb memory, in gigabytes
 * @param slots maximum number of requests it serves at the same time
 * @param connections maximum number of connections it accepts
 * @param draining whether it is draining: it is about to shut down and gets no new work
 */
public record Vm(String id, String failureDomain, String rack, Address address, int accelerators, int cores,
		int memoryGb, int slots, int connections, boolean draining) {

	public Vm {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(rack, "rack");
		Objects.requireNonNull(address, "address");
	}

}
