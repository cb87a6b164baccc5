package org.citronrelay.internal.http;

import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.Finding;
import org.citronrelay.Findings;
import org.citronrelay.internal.json.Json;

/**
 * A typed error body, {@code application/problem+json}: what happened and what to do
 * next.
 *
 * @param status the HTTP status
 * @param body the members of the problem
 */
public record Problem(int status, ObjectNode body) {

	private static final int STATUS_BAD_INPUT = 400;

	/**
	 * A problem of a type of this project.
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
	 * A refused input, with all findings.
	 */
	public static Problem findings(String what, Findings findings) {
		Problem problem = of(STATUS_BAD_INPUT, "bad-input",
				"The " + what + " has " + findings.list().size() + " finding(s). Nothing was changed.",
				"Mend each finding and send it again.");
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
	 * The same problem with one more member.
	 */
	public Problem with(String name, String value) {
		this.body.put(name, value);
		return this;
	}

	/**
	 * The problem as an answer.
	 */
	public HttpReply reply() {
		return new HttpReply(this.status, Map.of("Content-Type", "application/problem+json"), Json.bytes(this.body));
	}

}
