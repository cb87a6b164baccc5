package org.citronrelay.internal.http;

import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;

/**
 * A request as the server received it or the client is to send it.
 *
 * @param method the HTTP method
 * @param path the path without the query
 * @param query the parameters of the query
 * @param headers the headers, without regard to case
 * @param body the whole body, empty where there is none
 */
public record HttpCall(String method, String path, Map<String, String> query, Map<String, String> headers,
		byte[] body) {

	private static final byte[] EMPTY = new byte[0];

	public HttpCall {
		query = Map.copyOf(query);
		headers = caseless(headers);
	}

	/**
	 * A call without a body.
	 */
	public static HttpCall of(String method, String path) {
		return new HttpCall(method, path, Map.of(), Map.of(), EMPTY);
	}

	/**
	 * The same call with one more query parameter.
	 */
	public HttpCall query(String name, String value) {
		Map<String, String> more = new TreeMap<>(this.query);
		more.put(name, value);
		return new HttpCall(this.method, this.path, more, this.headers, this.body);
	}

	/**
	 * The same call with one more header.
	 */
	public HttpCall header(String name, String value) {
		Map<String, String> more = new TreeMap<>(this.headers);
		more.put(name, value);
		return new HttpCall(this.method, this.path, this.query, more, this.body);
	}

	/**
	 * The same call with a body.
	 */
	public HttpCall body(byte[] bytes) {
		return new HttpCall(this.method, this.path, this.query, this.headers, bytes);
	}

	/**
	 * A header, if it was sent.
	 */
	public Option<String> header(String name) {
		return Option.of(this.headers.get(name));
	}

	/**
	 * A query parameter, or the fallback.
	 */
	public String parameter(String name, String fallback) {
		return this.query.getOrDefault(name, fallback);
	}

	static Map<String, String> caseless(Map<String, String> headers) {
		Map<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		copy.putAll(headers);
		return java.util.Collections.unmodifiableMap(copy);
	}

}
