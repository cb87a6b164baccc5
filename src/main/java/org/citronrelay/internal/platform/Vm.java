package org.citronrelay.internal.platform;

import java.util.Objects;

import org.citronrelay.internal.http.Address;

/**
 * One backend server as the VM list knows it.
 *
 * @param id the name of the VM
 * @param failureDomain its failure domain
 * @param rack its rack
 * @param address where its services listen
 * @param accelerators how many accelerators it has, at most 64
 * @param cores its processor cores
 * @param memoryGb its memory, in gigabytes
 * @param slots how many requests it serves at once
 * @param connections how many connections it accepts
 * @param leaving whether it is about to leave
 */
public record Vm(String id, String failureDomain, String rack, Address address, int accelerators, int cores,
		int memoryGb, int slots, int connections, boolean leaving) {

	public Vm {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(rack, "rack");
		Objects.requireNonNull(address, "address");
	}

}
