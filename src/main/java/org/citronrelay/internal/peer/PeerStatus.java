package org.citronrelay.internal.peer;

import java.util.List;
import java.util.Objects;

import org.citronrelay.internal.http.Address;

/**
 * The status that an entry process reports to its peers.
 *
 * @param process the id of the process, new with each start of the process
 * @param failureDomain its failure domain
 * @param address where it accepts connections of peers
 * @param catalogueNumber the number of the catalogue version in force there
 * @param stopping whether it is shutting down
 * @param epoch the newest epoch of its failure domain that it knows, 0 if none
 * @param holder whether it holds its failure domain
 * @param queuedAccelerators the number of accelerators that the queued jobs of its
 * failure domain need, if it holds the domain
 * @param drainingVms the ids of the VMs that refused its requests because they are
 * draining
 */
public record PeerStatus(String process, String failureDomain, Address address, long catalogueNumber, boolean stopping,
		long epoch, boolean holder, int queuedAccelerators, List<String> drainingVms) {

	public PeerStatus {
		Objects.requireNonNull(process, "process");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(address, "address");
		drainingVms = List.copyOf(drainingVms);
	}

}
