package org.citronrelay.internal.claim;

import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.json.Json;

/**
 * The exclusive right of one entry process to run one non-idempotent request.
 *
 * @param id the id of the claim; each attempt to claim a key has a new one
 * @param process the id of the entry process that made the claim
 * @param bodyDigest the digest of the service and the body of the request
 */
public record Claim(String id, String process, String bodyDigest) {

	private static final String PREFIX = "/citronrelay/claims/";

	public Claim {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(process, "process");
		Objects.requireNonNull(bodyDigest, "bodyDigest");
	}

	/**
	 * Returns the key of the key-value service under which the claim of a caller's key is
	 * stored. It contains the id of the team, so that a team that is deleted and created
	 * again under the same name does not inherit old claims.
	 */
	public static String storageKey(String teamId, String callerKey) {
		return PREFIX + teamId + "/" + CatalogueVersion.sha256(callerKey);
	}

	/**
	 * Returns the claim in its stored form.
	 */
	public byte[] bytes() {
		return Json
			.bytes(Json.object().put("id", this.id).put("process", this.process).put("bodyDigest", this.bodyDigest));
	}

	/**
	 * Parses a claim in its stored form.
	 */
	public static Claim read(byte[] bytes) {
		JsonNode body = Json.parseTrusted(bytes);
		return new Claim(body.path("id").asText(), body.path("process").asText(), body.path("bodyDigest").asText());
	}

}
