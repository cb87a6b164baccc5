package org.citronrelay.internal.peer;

import java.util.List;
import java.util.Objects;

import org.citronrelay.internal.http.Address;

/**
 * What an entry process tells its peers of itself.
 *
 * @param process the id of the process, new with each start
 * @param failureDomain its failure domain
 * @param address where it takes peer links
 * @param catalogueNumber the version of the catalogue in force there
 * @param leaving whether it is about to stop
 * @param epoch the newest epoch of its failure domain that it knows
 * @param holder whether it holds its failure domain
 * @param load the accelerators that jobs wait for in its failure domain, if it holds it
 * @param avoided the VMs that it has seen refuse work because they leave
 */
public record PeerStatus(String process, String failureDomain, Address address, long catalogueNumber, boolean leaving,
		long epoch, boolean holder, int load, List<String> avoided) {

	public PeerStatus {
		Objects.requireNonNull(process, "process");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(address, "address");
		avoided = List.copyOf(avoided);
	}

}
