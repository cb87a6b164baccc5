package org.citronrelay.internal.standin;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;

/**
 * What truly ran on a stand-in worker, for checkers that trust nothing else.
 */
public final class RunLog {

	private final List<Event> events = new ArrayList<>();

	/**
	 * Adds an event.
	 */
	public synchronized void add(String kind, String id, long at) {
		this.events.add(new Event(kind, id, at));
	}

	/**
	 * All events so far, in order.
	 */
	public synchronized List<Event> events() {
		return List.copyOf(this.events);
	}

	ObjectNode toJson() {
		ObjectNode body = Json.object();
		for (Event event : events()) {
			body.withArray("events").addObject().put("kind", event.kind()).put("id", event.id()).put("at", event.at());
		}
		return body;
	}

	/**
	 * One event.
	 *
	 * @param kind what happened, for example {@code task-start}
	 * @param id the request or task
	 * @param at the monotonic time of the machine, in milliseconds
	 */
	public record Event(String kind, String id, long at) {
	}

}
