package org.citronrelay.internal.schedule;

/**
 * What a failed call to a VM says about whether the VM still exists.
 */
public enum VmAbsence {

	/** Nothing: the VM may be slow, cut off or gone. */
	UNKNOWN,
	/**
	 * The host refused the connection: the VM is gone, or a network partition resets
	 * connections.
	 */
	REFUSED,
	/** Another instance answered at the address, so the VM is gone. */
	REPLACED

}
