package org.citronrelay.internal.batch;

import java.util.Objects;
import java.util.Set;

import org.citronrelay.internal.http.Address;

/**
 * What a backend server VM said of itself.
 *
 * @param id the VM's id
 * @param pool the pool it belongs to
 * @param address where it takes orders
 * @param failureDomain its failure domain
 * @param boot tells one start of the VM from the next
 * @param draining whether it is about to leave
 * @param capacity what it has
 * @param rack the rack it stands in, empty where it names none
 * @param labels what it may be asked for by
 */
public record VmReport(String id, String pool, Address address, String failureDomain, long boot, boolean draining,
		Resources capacity, String rack, Set<String> labels) {

	public VmReport {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(pool, "pool");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(capacity, "capacity");
		labels = Set.copyOf(labels);
	}

}
