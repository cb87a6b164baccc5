package org.citronrelay.internal.catalogue;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.citronrelay.Catalogue;
import org.citronrelay.Findings;
import org.citronrelay.internal.json.Json;

/**
 * One immutable version of the catalogue.
 *
 * @param number the number of the version, rising by 1 with each change; 0 is the empty
 * catalogue
 * @param changeId the unique id of the change that created this version
 * @param author who made the change
 * @param createdAtMs when the change was made, in milliseconds of the wall clock; shown
 * to people only
 * @param parentDigest the digest of the previous version, empty for the first
 * @param ancestors the keys of up to {@value #MAX_ANCESTORS} earlier versions, newest
 * first
 * @param catalogue the catalogue
 * @param digest the SHA-256 digest of the JSON form without the digest itself, in
 * lower-case hex
 */
public record CatalogueVersion(long number, String changeId, String author, long createdAtMs, String parentDigest,
		List<String> ancestors, Catalogue catalogue, String digest) {

	/** The maximum number of earlier versions that stay stored. */
	public static final int MAX_ANCESTORS = 50;

	/** The version in force before the first change: an empty catalogue. */
	public static final CatalogueVersion NONE = new CatalogueVersion(0, "none", "none", 0, "", List.of(),
			Catalogue.EMPTY, "");

	private static final String KEY_PREFIX = "/citronrelay/catalogue/versions/";

	public CatalogueVersion {
		Objects.requireNonNull(changeId, "changeId");
		Objects.requireNonNull(author, "author");
		ancestors = List.copyOf(ancestors);
		Objects.requireNonNull(catalogue, "catalogue");
	}

	/**
	 * Returns the version that follows this one and holds the given catalogue.
	 */
	public CatalogueVersion next(String newChangeId, String newAuthor, long now, Catalogue changed) {
		List<String> newAncestors = (this.number == 0) ? List.of()
				: java.util.stream.Stream.concat(java.util.stream.Stream.of(key()), this.ancestors.stream())
					.limit(MAX_ANCESTORS)
					.toList();
		CatalogueVersion withoutDigest = new CatalogueVersion(this.number + 1, newChangeId, newAuthor, now, this.digest,
				newAncestors, changed, "");
		return withoutDigest.withDigest();
	}

	/**
	 * Returns the key of this version in the key-value service.
	 */
	public String key() {
		return String.format("%s%010d-%s", KEY_PREFIX, this.number, this.changeId);
	}

	/**
	 * Whether the digest matches the content. Always true for the empty catalogue with
	 * number 0, which has no digest.
	 */
	public boolean hasValidDigest() {
		return this.number == 0 || computedDigest().equals(this.digest);
	}

	/**
	 * Returns the version as JSON in UTF-8, as it is stored and sent to peers.
	 */
	public byte[] bytes() {
		return Json.bytes(toJson());
	}

	/**
	 * Returns the version as JSON, with the catalogue.
	 */
	public ObjectNode toJson() {
		ObjectNode body = summary();
		this.ancestors.forEach(body.withArray("ancestors")::add);
		body.set("catalogue", CatalogueWriter.write(this.catalogue));
		return body;
	}

	/**
	 * Returns the version as JSON without the catalogue and the ancestors.
	 */
	public ObjectNode summary() {
		return Json.object()
			.put("number", this.number)
			.put("changeId", this.changeId)
			.put("author", this.author)
			.put("atMs", this.createdAtMs)
			.put("parentDigest", this.parentDigest)
			.put("digest", this.digest);
	}

	/**
	 * Reads a stored version and checks its digest.
	 * @return the version, or the errors found in the document
	 */
	public static Either<Findings, CatalogueVersion> read(byte[] document) {
		return Json.parse(document).flatMap(CatalogueVersion::read);
	}

	private static Either<Findings, CatalogueVersion> read(JsonNode body) {
		return CatalogueReader.read(body.path("catalogue")).flatMap((catalogue) -> {
			List<String> ancestors = new java.util.ArrayList<>();
			body.path("ancestors").forEach((key) -> ancestors.add(key.asText()));
			CatalogueVersion version = new CatalogueVersion(body.path("number").asLong(),
					body.path("changeId").asText(), body.path("author").asText(), body.path("atMs").asLong(),
					body.path("parentDigest").asText(), ancestors, catalogue, body.path("digest").asText());
			return version.hasValidDigest() ? Either.right(version) : Either.left(
					Findings.of("/digest", version.digest(), "the digest of the content, " + version.computedDigest()));
		});
	}

	private CatalogueVersion withDigest() {
		return new CatalogueVersion(this.number, this.changeId, this.author, this.createdAtMs, this.parentDigest,
				this.ancestors, this.catalogue, computedDigest());
	}

	private String computedDigest() {
		ObjectNode body = toJson();
		body.remove("digest");
		return sha256(Json.bytes(body));
	}

	/**
	 * Returns the SHA-256 digest of a text in UTF-8, in lower-case hex.
	 */
	public static String sha256(String text) {
		return sha256(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the SHA-256 digest of the bytes in lower-case hex.
	 */
	public static String sha256(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
