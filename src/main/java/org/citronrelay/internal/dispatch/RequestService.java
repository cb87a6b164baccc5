package org.citronrelay.internal.dispatch;

import org.citronrelay.internal.http.Address;

/**
 * The request service of a backend server.
 */
@FunctionalInterface
public interface RequestService {

	/**
	 * Sends a request and waits for its whole answer.
	 * @param timeoutMs how long to wait, in milliseconds
	 */
	Attempt send(Address worker, BackendRequest request, long timeoutMs);

}
