package org.citronrelay.internal.platform;

import java.util.List;

import io.vavr.control.Either;

/**
 * The platform's list of live and leaving VMs, which lags behind the truth.
 */
@FunctionalInterface
public interface VmList {

	/**
	 * The list as it stands, or what was seen instead.
	 */
	Either<String, List<Vm>> vms();

}
