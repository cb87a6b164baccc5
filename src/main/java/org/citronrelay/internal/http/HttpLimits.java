package org.citronrelay.internal.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the resources that callers of an HTTP server can use.
 *
 * @param headerBytes maximum size of the header section of a call, in bytes
 * @param bodyBytes maximum size of the body of a call, in bytes
 * @param connections maximum number of open connections
 * @param idle maximum time that a connection may be idle, and that a read may wait for
 * the sender
 */
public record HttpLimits(int headerBytes, int bodyBytes, int connections, Duration idle) {

	/** The limits used where the settings give none. */
	public static final HttpLimits DEFAULT = new HttpLimits(16 * 1024, 1024 * 1024, 2_000, Duration.ofSeconds(30));

	public HttpLimits {
		Objects.requireNonNull(idle, "idle");
	}

	/**
	 * Returns a copy with another maximum size of the body of a call.
	 */
	public HttpLimits withBodyBytes(int newBodyBytes) {
		return new HttpLimits(this.headerBytes, newBodyBytes, this.connections, this.idle);
	}

}
