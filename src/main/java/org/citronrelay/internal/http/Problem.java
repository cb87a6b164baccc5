package org.citronrelay.internal.http;

import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.Finding;
import org.citronrelay.Findings;
import org.citronrelay.internal.json.Json;

/**
 * An error answer in the format {@code application/problem+json}. It states what happened
 * ({@code title}) and what the caller can do ({@code next}).
 *
 * @param status the HTTP status
 * @param body the JSON members of the problem
 */
public record Problem(int status, ObjectNode body) {

	private static final int STATUS_BAD_INPUT = 400;

	/**
	 * Creates a problem.
	 * @param type the last part of the type {@code urn:citronrelay:TYPE}
	 * @param title what happened
	 * @param next what the caller can do
	 */
	public static Problem of(int status, String type, String title, String next) {
		ObjectNode body = Json.object();
		body.put("type", "urn:citronrelay:" + type);
		body.put("title", title);
		body.put("status", status);
		body.put("next", next);
		return new Problem(status, body);
	}

	/**
	 * Creates the problem of an input that was refused, with all its findings.
	 * @param what the kind of input, such as {@code job}
	 */
	public static Problem findings(String what, Findings findings) {
		Problem problem = of(STATUS_BAD_INPUT, "bad-input",
				"The " + what + " has " + findings.list().size() + " finding(s). Nothing was changed.",
				"Correct each finding and send it again.");
		for (Finding finding : findings.list()) {
			problem.body.withArray("findings")
				.addObject()
				.put("pointer", finding.pointer())
				.put("value", finding.value())
				.put("allowed", finding.allowed());
		}
		return problem;
	}

	/**
	 * Adds a member to the body of this problem.
	 * @return this problem
	 */
	public Problem with(String name, String value) {
		this.body.put(name, value);
		return this;
	}

	/**
	 * Creates the answer that carries this problem.
	 */
	public HttpReply reply() {
		return new HttpReply(this.status, Map.of("Content-Type", "application/problem+json"), Json.bytes(this.body));
	}

}
