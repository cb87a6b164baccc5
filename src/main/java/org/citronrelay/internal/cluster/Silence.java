package org.citronrelay.internal.cluster;

import java.util.Objects;

/**
 * Why a VM did not answer.
 *
 * @param reason what was seen
 * @param nobodyThere whether the VM's machine said that the VM is not there
 */
public record Silence(String reason, boolean nobodyThere) {

	public Silence {
		Objects.requireNonNull(reason, "reason");
	}

}
