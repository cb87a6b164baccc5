package org.citronrelay;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import io.vavr.control.Option;
import org.citronrelay.CatalogueEntry.JobKind;
import org.citronrelay.CatalogueEntry.Service;
import org.citronrelay.CatalogueEntry.ServiceClass;
import org.citronrelay.CatalogueEntry.Team;

/**
 * The whole of what operators steer.
 *
 * @param deployment the name of the deployment
 * @param weights how the two measures are weighed
 * @param classes the classes of service
 * @param teams the teams
 * @param services the request services
 * @param jobKinds the kinds of jobs
 */
public record Catalogue(String deployment, Weights weights, List<ServiceClass> classes, List<Team> teams,
		List<Service> services, List<JobKind> jobKinds) {

	/** A catalogue without entries. */
	public static final Catalogue EMPTY = new Catalogue("none", new Weights(0.5, 0.5), List.of(), List.of(), List.of(),
			List.of());

	public Catalogue {
		Objects.requireNonNull(deployment, "deployment");
		Objects.requireNonNull(weights, "weights");
		classes = List.copyOf(classes);
		teams = List.copyOf(teams);
		services = List.copyOf(services);
		jobKinds = List.copyOf(jobKinds);
	}

	/**
	 * All entries, of every kind.
	 */
	public Stream<CatalogueEntry> entries() {
		return Stream.of(this.classes, this.teams, this.services, this.jobKinds).flatMap(List::stream);
	}

	/**
	 * The class of a name.
	 */
	public Option<ServiceClass> serviceClass(String name) {
		return named(this.classes, name);
	}

	/**
	 * The team of a name.
	 */
	public Option<Team> team(String name) {
		return named(this.teams, name);
	}

	/**
	 * The request service of a name.
	 */
	public Option<Service> service(String name) {
		return named(this.services, name);
	}

	/**
	 * The kind of job of a name.
	 */
	public Option<JobKind> jobKind(String name) {
		return named(this.jobKinds, name);
	}

	private static <E extends CatalogueEntry> Option<E> named(List<E> entries, String name) {
		return Option.ofOptional(entries.stream().filter((entry) -> entry.name().equals(name)).findFirst());
	}

	/**
	 * How the two measures are weighed when a placement is chosen.
	 *
	 * @param completionTime the weight of completion time
	 * @param fragmentation the weight of fragmentation
	 */
	public record Weights(double completionTime, double fragmentation) {
	}

}
