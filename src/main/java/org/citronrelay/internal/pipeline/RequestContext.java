package org.citronrelay.internal.pipeline;

import java.util.Objects;

import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry.Service;
import org.citronrelay.CatalogueEntry.ServiceClass;
import org.citronrelay.CatalogueEntry.Team;

/**
 * A request and what was looked up for it on arrival. Team, service and class come from
 * the same version of the catalogue and stay the same until the request ends.
 *
 * @param id the id of the request
 * @param team the team that sent it
 * @param service the requested service
 * @param serviceClass the class of the service
 * @param key the caller's idempotency key, empty if the caller sent none
 * @param bodyDigest the digest of the service and the body
 * @param contentType the content type of the body
 * @param body the body
 * @param arrivedAt when it arrived, in monotonic milliseconds
 * @param deadline when the caller stops waiting, in monotonic milliseconds
 */
public record RequestContext(String id, Team team, Service service, ServiceClass serviceClass, String key,
		String bodyDigest, String contentType, byte[] body, long arrivedAt, long deadline) {

	public RequestContext {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(serviceClass, "serviceClass");
		Objects.requireNonNull(key, "key");
	}

	/**
	 * Whether the request may run at most once.
	 */
	public boolean atMostOnce() {
		return !this.service.idempotent();
	}

	/**
	 * Returns the class of a service.
	 * @param catalogue the catalogue that the service belongs to
	 * @param service the service
	 * @throws IllegalStateException if the catalogue does not have the class
	 */
	public static ServiceClass serviceClassOf(Catalogue catalogue, Service service) {
		return catalogue.serviceClass(service.serviceClass())
			.getOrElseThrow(
					() -> new IllegalStateException("the service names a class that its catalogue does not have"));
	}

}
