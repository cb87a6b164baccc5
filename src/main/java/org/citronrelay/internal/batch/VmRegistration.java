package org.citronrelay.internal.batch;

import java.util.Objects;
import java.util.Set;

import org.citronrelay.internal.http.Address;

/**
 * The registration of a backend server VM.
 *
 * @param id the VM's id
 * @param pool the pool it belongs to
 * @param address the address on which it accepts commands
 * @param failureDomain its failure domain
 * @param boot identifies one start of the VM
 * @param draining whether it is about to shut down and takes no new tasks
 * @param remainingMs how long it stays at least while it drains, in milliseconds;
 * {@link #UNKNOWN} if it does not say
 * @param capacity the resources it offers in total
 * @param rack its rack, empty if unknown
 * @param labels its labels, which a step may require
 */
public record VmRegistration(String id, String pool, Address address, String failureDomain, long boot, boolean draining,
		long remainingMs, Resources capacity, String rack, Set<String> labels) {

	/** The remaining time of a VM that announced none. */
	public static final long UNKNOWN = -1;

	public VmRegistration {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(pool, "pool");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(capacity, "capacity");
		labels = Set.copyOf(labels);
	}

}
