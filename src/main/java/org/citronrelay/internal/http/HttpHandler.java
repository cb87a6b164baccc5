package org.citronrelay.internal.http;

/**
 * Answers calls. Each call runs on a thread of its own and may block.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Answers a call.
	 */
	HttpReply handle(HttpCall call);

}
