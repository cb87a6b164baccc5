package org.citronrelay.internal.http;

import java.time.Duration;
import java.util.Objects;

/**
 * What one caller may cost the server.
 *
 * @param headerBytes the largest header section
 * @param bodyBytes the largest body
 * @param connections the most connections open at once
 * @param idle how long a connection may be idle, and a sender slow
 */
public record HttpLimits(int headerBytes, int bodyBytes, int connections, Duration idle) {

	/** The limits where settings name none. */
	public static final HttpLimits DEFAULT = new HttpLimits(16 * 1024, 1024 * 1024, 2_000, Duration.ofSeconds(30));

	public HttpLimits {
		Objects.requireNonNull(idle, "idle");
	}

}
