package org.citronrelay.internal.schedule;

/**
 * What a failed call to a VM says about whether the VM still exists.
 */
public enum VmAbsence {

	/** Nothing: the VM may be slow, cut off or gone, also if it refuses connections. */
	UNKNOWN,
	/** Another instance answered at the address, so the VM is gone. */
	REPLACED

}
