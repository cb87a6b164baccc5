package org.citronrelay.internal.dispatch;

import org.citronrelay.internal.http.Address;

/**
 * Sends requests to the request service of a backend server.
 */
@FunctionalInterface
public interface RequestService {

	/**
	 * Sends a request and waits for the complete answer.
	 * @param worker the address of the backend server
	 * @param timeoutMs how long to wait, in milliseconds
	 */
	AttemptResult send(Address worker, BackendRequest request, long timeoutMs);

}
