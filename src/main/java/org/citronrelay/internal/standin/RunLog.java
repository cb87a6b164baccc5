package org.citronrelay.internal.standin;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;

/**
 * What a stand-in worker executed, in order. Tests check the outcomes that entry
 * processes report against it.
 */
public final class RunLog {

	private final List<Event> events = new ArrayList<>();

	/**
	 * Adds an event.
	 * @param kind what happened, for example {@code task-start}
	 * @param id the id of the request or task
	 * @param atMs the monotonic time, in milliseconds
	 */
	public synchronized void add(String kind, String id, long atMs) {
		this.events.add(new Event(kind, id, atMs));
	}

	/**
	 * Returns a copy of all events so far, in the order in which they were added.
	 */
	public synchronized List<Event> events() {
		return List.copyOf(this.events);
	}

	ObjectNode toJson() {
		ObjectNode body = Json.object();
		for (Event event : events()) {
			body.withArray("events")
				.addObject()
				.put("kind", event.kind())
				.put("id", event.id())
				.put("at", event.atMs());
		}
		return body;
	}

	/**
	 * An event of a request or a task.
	 *
	 * @param kind what happened, for example {@code task-start}
	 * @param id the id of the request or task
	 * @param atMs the monotonic time, in milliseconds
	 */
	public record Event(String kind, String id, long atMs) {
	}

}
