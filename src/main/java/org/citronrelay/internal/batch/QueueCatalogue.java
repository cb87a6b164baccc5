package org.citronrelay.internal.batch;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.vavr.control.Option;

/**
 * One version of what operators set for the batch queues of a cluster.
 *
 * @param version the version; only grows
 * @param entries where callers reach the queues
 * @param teams the teams by name
 * @param teamsByKey the team of each access key
 * @param bodyBytes the largest body of a call, in bytes
 */
public record QueueCatalogue(long version, List<Entry> entries, Map<String, Team> teams, Map<String, String> teamsByKey,
		int bodyBytes) {

	/** The catalogue before any was read. */
	public static final QueueCatalogue NONE = new QueueCatalogue(0, List.of(), Map.of(), Map.of(), 0);

	public QueueCatalogue {
		entries = entries.stream()
			.sorted(Comparator.comparingInt((Entry entry) -> entry.prefix().length()).reversed())
			.toList();
		teams = Map.copyOf(teams);
		teamsByKey = Map.copyOf(teamsByKey);
	}

	/**
	 * The queue that a host and path lead to; the longest prefix wins.
	 */
	public Option<Entry> route(String host, String path) {
		return Option.ofOptional(this.entries.stream()
			.filter((entry) -> entry.host().equalsIgnoreCase(host) && path.startsWith(entry.prefix()))
			.findFirst());
	}

	/**
	 * The queues by name.
	 */
	public Map<String, Queue> queues() {
		return this.entries.stream()
			.map(Entry::queue)
			.collect(Collectors.toMap(Queue::name, (queue) -> queue, (first, _) -> first));
	}

	/**
	 * How callers reach a queue.
	 *
	 * @param host the host that they name
	 * @param prefix what the path begins with
	 * @param anonymous whether calls need no key
	 * @param queue the queue
	 */
	public record Entry(String host, String prefix, boolean anonymous, Queue queue) {
	}

	/**
	 * What a team was promised.
	 *
	 * @param name the team's name
	 * @param guaranteed accelerators that are its own at all times, for its most urgent
	 * jobs
	 */
	public record Team(String name, long guaranteed) {
	}

}
