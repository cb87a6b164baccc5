package org.citronrelay.internal.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import org.citronrelay.internal.json.Json;

/**
 * A whole answer to a call.
 *
 * @param status the HTTP status
 * @param headers the headers, without regard to case
 * @param body the whole body
 * @param delivery how much of the answer is sent; only stand-ins send less than the whole
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body, Delivery delivery) {

	private static final String CONTENT_TYPE = "Content-Type";

	public HttpReply {
		headers = HttpCall.caseless(headers);
	}

	public HttpReply(int status, Map<String, String> headers, byte[] body) {
		this(status, headers, body, Delivery.WHOLE);
	}

	/**
	 * An answer in JSON.
	 */
	public static HttpReply json(int status, JsonNode body) {
		return new HttpReply(status, Map.of(CONTENT_TYPE, "application/json"), Json.bytes(body));
	}

	/**
	 * An answer in plain text.
	 */
	public static HttpReply text(int status, String body) {
		return new HttpReply(status, Map.of(CONTENT_TYPE, "text/plain; charset=utf-8"),
				body.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * The same answer with one more header.
	 */
	public HttpReply header(String name, String value) {
		Map<String, String> more = new TreeMap<>(this.headers);
		more.put(name, value);
		return new HttpReply(this.status, more, this.body, this.delivery);
	}

	/**
	 * The same answer, delivered otherwise.
	 */
	public HttpReply delivered(Delivery how) {
		return new HttpReply(this.status, this.headers, this.body, how);
	}

	/**
	 * A header, if it was sent.
	 */
	public Option<String> header(String name) {
		return Option.of(this.headers.get(name));
	}

	/**
	 * The body as JSON that this system's own side wrote, an empty object where it is not
	 * JSON.
	 */
	public JsonNode json() {
		return Json.parse(this.body).getOrElse(Json.object());
	}

	/**
	 * How much of an answer is sent.
	 */
	public enum Delivery {

		/** All of it. */
		WHOLE,
		/** The head and half of the body, then the connection is closed. */
		CUT,
		/** Nothing; the connection is closed. */
		DROPPED

	}

}
