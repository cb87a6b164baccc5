package org.citronrelay.internal.cluster;

import java.util.Objects;

import org.citronrelay.internal.schedule.VmAbsence;

/**
 * Why a VM did not answer a renewal.
 *
 * @param reason the failure that was observed
 * @param absence what the failure says about whether the VM still exists
 */
public record NoAnswer(String reason, VmAbsence absence) {

	public NoAnswer {
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(absence, "absence");
	}

}
