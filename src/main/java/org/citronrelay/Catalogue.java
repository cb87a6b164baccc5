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
 * The configuration that operators change while the system runs: teams with their limits
 * and guarantees, classes of service, request services and kinds of jobs.
 *
 * @param deployment the name of the deployment
 * @param weights the weights of the two measures by which placements are compared
 * @param classes the classes of service
 * @param teams the teams
 * @param services the request services of the backend servers
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
	 * Returns the entries of all kinds.
	 */
	public Stream<CatalogueEntry> entries() {
		return Stream.of(this.classes, this.teams, this.services, this.jobKinds).flatMap(List::stream);
	}

	/**
	 * Returns the class of service with a name.
	 */
	public Option<ServiceClass> serviceClass(String name) {
		return findByName(this.classes, name);
	}

	/**
	 * Returns the team with a name.
	 */
	public Option<Team> team(String name) {
		return findByName(this.teams, name);
	}

	/**
	 * Returns the request service with a name.
	 */
	public Option<Service> service(String name) {
		return findByName(this.services, name);
	}

	/**
	 * Returns the kind of job with a name.
	 */
	public Option<JobKind> jobKind(String name) {
		return findByName(this.jobKinds, name);
	}

	private static <E extends CatalogueEntry> Option<E> findByName(List<E> entries, String name) {
		return Option.ofOptional(entries.stream().filter((entry) -> entry.name().equals(name)).findFirst());
	}

	/**
	 * The weights of the two measures by which placements are compared, each from 0 to 1.
	 *
	 * @param completionTime the weight of an early completion of the job
	 * @param fragmentation the weight of low fragmentation of the free accelerators
	 */
	public record Weights(double completionTime, double fragmentation) {
	}

}
