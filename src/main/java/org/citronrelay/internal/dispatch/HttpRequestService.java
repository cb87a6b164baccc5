package org.citronrelay.internal.dispatch;

import java.util.Map;

import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpReply;

/**
 * The request service over HTTP. An answer must carry the id of its request.
 */
public final class HttpRequestService implements RequestService {

	private static final String REQUEST_ID = "Request-Id";

	private static final String NOT_STARTED = "Not-Started";

	private final HttpClient client;

	public HttpRequestService(HttpClient client) {
		this.client = client;
	}

	@Override
	public Attempt send(Address worker, BackendRequest request, long timeoutMs) {
		HttpCall call = new HttpCall("POST", "/service/" + request.service(), Map.of(),
				Map.of(REQUEST_ID, request.id(), "Content-Type", request.contentType()), request.body());
		return switch (this.client.exchange(worker, call, timeoutMs, !request.idempotent())) {
			case Exchange.Answered answered -> answered(request, answered.reply());
			case Exchange.NotSent notSent -> new Attempt.NotStarted(notSent.reason(), false, true);
			case Exchange.Broken broken -> new Attempt.Lost(broken.reason());
		};
	}

	private static Attempt answered(BackendRequest request, HttpReply reply) {
		String refusal = reply.header(NOT_STARTED).getOrElse("");
		if (!refusal.isEmpty()) {
			return new Attempt.NotStarted(refusal, refusal.equals("leaving"), false);
		}
		boolean another = reply.header(REQUEST_ID).exists((id) -> !id.equals(request.id()));
		return another ? new Attempt.Lost("the answer belongs to another request") : new Attempt.Whole(reply);
	}

}
