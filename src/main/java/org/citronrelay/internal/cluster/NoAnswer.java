package org.citronrelay.internal.cluster;

import java.util.Objects;

/**
 * Why a VM did not answer a renewal.
 *
 * @param reason the failure that was observed
 * @param absent whether the VM is absent: its host refused the connection or runs another
 * instance
 */
public record NoAnswer(String reason, boolean absent) {

	public NoAnswer {
		Objects.requireNonNull(reason, "reason");
	}

}
