package org.citronrelay.internal.dispatch;

import java.util.Objects;

/**
 * A request to a backend server.
 *
 * @param id the id that the answer must carry
 * @param service the name of the request service
 * @param idempotent whether it may be sent again after a failure
 * @param contentType the media type of the body
 * @param body the body
 */
public record BackendRequest(String id, String service, boolean idempotent, String contentType, byte[] body) {

	public BackendRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
	}

}
