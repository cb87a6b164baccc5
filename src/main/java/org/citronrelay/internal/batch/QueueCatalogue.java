package org.citronrelay.internal.batch;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.vavr.control.Option;

/**
 * One version of the catalogue of batch queues and teams that operators define for a
 * cluster.
 *
 * @param version the version number, which only increases
 * @param routes the routes to the queues, longest path prefix first
 * @param teams the teams by name
 * @param teamsByKey the team of each access key
 * @param bodyBytes the size limit of a request body, in bytes
 */
public record QueueCatalogue(long version, List<Route> routes, Map<String, Team> teams, Map<String, String> teamsByKey,
		int bodyBytes) {

	/** The empty catalogue, in effect until one was read. */
	public static final QueueCatalogue NONE = new QueueCatalogue(0, List.of(), Map.of(), Map.of(), 0);

	public QueueCatalogue {
		routes = routes.stream()
			.sorted(Comparator.comparingInt((Route route) -> route.prefix().length()).reversed())
			.toList();
		teams = Map.copyOf(teams);
		teamsByKey = Map.copyOf(teamsByKey);
	}

	/**
	 * Returns the route for a host and path, the one with the longest prefix; none if no
	 * route matches.
	 */
	public Option<Route> route(String host, String path) {
		return Option.ofOptional(this.routes.stream()
			.filter((route) -> route.host().equalsIgnoreCase(host) && path.startsWith(route.prefix()))
			.findFirst());
	}

	/**
	 * Returns the queues by name.
	 */
	public Map<String, Queue> queues() {
		return this.routes.stream()
			.map(Route::queue)
			.collect(Collectors.toMap(Queue::name, (queue) -> queue, (first, _) -> first));
	}

	/**
	 * A route to a queue: the host and path under which callers reach it.
	 *
	 * @param host the host name, compared without case
	 * @param prefix the path prefix
	 * @param anonymous whether calls need no access key
	 * @param queue the queue
	 */
	public record Route(String host, String prefix, boolean anonymous, Queue queue) {
	}

	/**
	 * A team and its guarantee.
	 *
	 * @param name the team's name
	 * @param guaranteed the number of accelerators guaranteed at all times to its most
	 * urgent jobs
	 */
	public record Team(String name, long guaranteed) {
	}

}
