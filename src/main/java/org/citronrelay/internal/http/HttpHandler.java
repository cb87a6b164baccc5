package org.citronrelay.internal.http;

/**
 * Handles the calls that an {@link HttpEndpoint} receives. Each call has a virtual thread
 * of its own, so an implementation may block and must be thread-safe.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Returns the answer to a call.
	 */
	HttpReply handle(HttpCall call);

}
