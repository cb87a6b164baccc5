package org.citronrelay.internal.claim;

import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.json.Json;

/**
 * The right of one entry process to run one request.
 *
 * @param id the id of the claim, new with each attempt to claim
 * @param process the entry process that has it
 * @param bodyDigest the digest of the service and body that it stands for
 */
public record Claim(String id, String process, String bodyDigest) {

	private static final String PREFIX = "/citronrelay/claims/";

	public Claim {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(process, "process");
		Objects.requireNonNull(bodyDigest, "bodyDigest");
	}

	/**
	 * Where the claim of a caller's key is stored. The id of the team is part of it, so
	 * that a team made again under its old name has no old claims.
	 */
	public static String storageKey(String teamId, String callerKey) {
		return PREFIX + teamId + "/" + CatalogueVersion.sha256(callerKey);
	}

	/**
	 * The claim as it is stored.
	 */
	public byte[] bytes() {
		return Json
			.bytes(Json.object().put("id", this.id).put("process", this.process).put("bodyDigest", this.bodyDigest));
	}

	/**
	 * Reads a stored claim.
	 */
	public static Claim read(byte[] bytes) {
		JsonNode body = Json.parseOwn(bytes);
		return new Claim(body.path("id").asText(), body.path("process").asText(), body.path("bodyDigest").asText());
	}

}
