package org.citronrelay.internal.platform;

import java.util.List;

import io.vavr.control.Either;

/**
 * The platform's list of live and draining VMs. The list is updated with a delay, so it
 * may name VMs that have stopped and omit new ones.
 */
@FunctionalInterface
public interface VmList {

	/**
	 * Reads the list.
	 * @return the VMs, or the reason why the list could not be read
	 */
	Either<String, List<Vm>> vms();

}
