package org.citronrelay.internal.http;

import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;

/**
 * An HTTP request that a server has received or that a client sends.
 *
 * @param method the HTTP method
 * @param path the path without the query
 * @param query the query parameters
 * @param headers the headers; names are compared without regard to case
 * @param body the body, empty if there is none
 */
public record HttpCall(String method, String path, Map<String, String> query, Map<String, String> headers,
		byte[] body) {

	private static final byte[] EMPTY = new byte[0];

	public HttpCall {
		query = Map.copyOf(query);
		headers = caseInsensitive(headers);
	}

	/**
	 * Creates a call without query, headers and body.
	 */
	public static HttpCall of(String method, String path) {
		return new HttpCall(method, path, Map.of(), Map.of(), EMPTY);
	}

	/**
	 * Returns a copy with the query parameter added or replaced.
	 */
	public HttpCall query(String name, String value) {
		Map<String, String> copy = new TreeMap<>(this.query);
		copy.put(name, value);
		return new HttpCall(this.method, this.path, copy, this.headers, this.body);
	}

	/**
	 * Returns a copy with the header added or replaced.
	 */
	public HttpCall header(String name, String value) {
		Map<String, String> copy = new TreeMap<>(this.headers);
		copy.put(name, value);
		return new HttpCall(this.method, this.path, this.query, copy, this.body);
	}

	/**
	 * Returns a copy with the given body.
	 */
	public HttpCall body(byte[] bytes) {
		return new HttpCall(this.method, this.path, this.query, this.headers, bytes);
	}

	/**
	 * Returns the value of a header, or none if it is absent.
	 */
	public Option<String> header(String name) {
		return Option.of(this.headers.get(name));
	}

	/**
	 * Returns the value of a query parameter, or the fallback if it is absent.
	 */
	public String parameter(String name, String fallback) {
		return this.query.getOrDefault(name, fallback);
	}

	static Map<String, String> caseInsensitive(Map<String, String> headers) {
		Map<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		copy.putAll(headers);
		return java.util.Collections.unmodifiableMap(copy);
	}

}
