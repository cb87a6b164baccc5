package org.citronrelay.internal.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import org.citronrelay.internal.json.Json;

/**
 * An answer to a call.
 *
 * @param status the HTTP status
 * @param headers the headers; names are compared without regard to case
 * @param body the body, or the part of it that was received so far; empty if there is
 * none
 * @param rest the rest of the body, none if it is complete
 * @param delivery how much of the answer is sent; only the stand-ins of external systems
 * send less than the complete answer, to inject faults
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body, Option<BodyStream> rest,
		Delivery delivery) {

	private static final String CONTENT_TYPE = "Content-Type";

	public HttpReply {
		headers = HttpCall.caseInsensitive(headers);
	}

	public HttpReply(int status, Map<String, String> headers, byte[] body) {
		this(status, headers, body, Option.none(), Delivery.COMPLETE);
	}

	/**
	 * Creates an answer with a JSON body.
	 */
	public static HttpReply json(int status, JsonNode body) {
		return new HttpReply(status, Map.of(CONTENT_TYPE, "application/json"), Json.bytes(body));
	}

	/**
	 * Creates an answer with a plain text body.
	 */
	public static HttpReply text(int status, String body) {
		return new HttpReply(status, Map.of(CONTENT_TYPE, "text/plain; charset=utf-8"),
				body.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns a copy with the header added or replaced.
	 */
	public HttpReply header(String name, String value) {
		Map<String, String> copy = new TreeMap<>(this.headers);
		copy.put(name, value);
		return new HttpReply(this.status, copy, this.body, this.rest, this.delivery);
	}

	/**
	 * Returns a copy with the given delivery.
	 */
	public HttpReply withDelivery(Delivery newDelivery) {
		return new HttpReply(this.status, this.headers, this.body, this.rest, newDelivery);
	}

	/**
	 * Returns the value of a header, or none if it is absent.
	 */
	public Option<String> header(String name) {
		return Option.of(this.headers.get(name));
	}

	/**
	 * Parses the body as JSON. Meant for answers of processes of this project and of the
	 * platform, as errors are not reported.
	 * @return the JSON document, or an empty object if the body is not JSON
	 */
	public JsonNode json() {
		return Json.parse(this.body).getOrElse(Json.object());
	}

	/**
	 * How much of an answer is sent.
	 */
	public enum Delivery {

		/** The complete answer. */
		COMPLETE,
		/** The headers and half of the body; then the connection is closed. */
		TRUNCATED,
		/** Nothing; the connection is closed. */
		DROPPED

	}

}
