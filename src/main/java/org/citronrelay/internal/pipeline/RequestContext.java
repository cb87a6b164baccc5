package org.citronrelay.internal.pipeline;

import java.util.Objects;

import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry.Service;
import org.citronrelay.CatalogueEntry.ServiceClass;
import org.citronrelay.CatalogueEntry.Team;

/**
 * A request with all that was decided about it on entry. It sees one version of the
 * catalogue from start to end.
 *
 * @param id the id of the request
 * @param team the team that sent it
 * @param service the service that it asks for
 * @param serviceClass the class of the service
 * @param key the caller's idempotency key, empty where it gave none
 * @param bodyDigest the digest of service and body
 * @param contentType the type of the body
 * @param body the body
 * @param arrivedAt when it arrived, in monotonic milliseconds
 * @param deadline when its caller stops waiting, in monotonic milliseconds
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
	 * Whether it may run at most once.
	 */
	public boolean once() {
		return !this.service.idempotent();
	}

	/**
	 * The class of a service of a catalogue.
	 */
	public static ServiceClass classOf(Catalogue catalogue, Service service) {
		return catalogue.serviceClass(service.serviceClass())
			.getOrElseThrow(() -> new IllegalStateException("a checked catalogue names only known classes"));
	}

}
