package org.citronrelay.internal.dispatch;

import java.util.Map;

import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpReply;

/**
 * Sends requests over HTTP. An answer that carries the id of another request is
 * ambiguous, as it does not show whether the request ran.
 */
public final class HttpRequestService implements RequestService {

	private static final String REQUEST_ID = "Request-Id";

	private static final String NOT_STARTED = "Not-Started";

	private final HttpClient client;

	public HttpRequestService(HttpClient client) {
		this.client = client;
	}

	@Override
	public AttemptResult send(Address worker, BackendRequest request, long timeoutMs) {
		HttpCall call = new HttpCall("POST", "/service/" + request.service(), Map.of(),
				Map.of(REQUEST_ID, request.id(), "Content-Type", request.contentType()), request.body());
		return switch (this.client.exchange(worker, call, timeoutMs, !request.idempotent())) {
			case Exchange.Answered answered -> answered(request, answered.reply());
			case Exchange.NotSent notSent -> new AttemptResult.NotStarted(notSent.reason(), false, true);
			case Exchange.Broken broken -> new AttemptResult.Ambiguous(broken.reason());
		};
	}

	private static AttemptResult answered(BackendRequest request, HttpReply reply) {
		String refusal = reply.header(NOT_STARTED).getOrElse("");
		if (!refusal.isEmpty()) {
			return new AttemptResult.NotStarted(refusal, refusal.equals("leaving"), false);
		}
		boolean otherRequest = reply.header(REQUEST_ID).exists((id) -> !id.equals(request.id()));
		return otherRequest ? new AttemptResult.Ambiguous("the answer carries the id of another request")
				: new AttemptResult.Answered(reply);
	}

}
