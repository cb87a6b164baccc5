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
 * @param number its number; the empty catalogue has 0
 * @param changeId the id of the change that made it
 * @param author who made the change
 * @param atMs when, in milliseconds of the wall clock; for people only
 * @param parentDigest the digest of the version before
 * @param ancestors the keys of earlier versions, the latest first
 * @param catalogue the catalogue
 * @param digest the digest over all of this
 */
public record CatalogueVersion(long number, String changeId, String author, long atMs, String parentDigest,
		List<String> ancestors, Catalogue catalogue, String digest) {

	/** How many earlier versions are kept. */
	public static final int KEPT_ANCESTORS = 50;

	/** The version before the first. */
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
	 * The next version after this one.
	 */
	public CatalogueVersion next(String newChangeId, String newAuthor, long now, Catalogue changed) {
		List<String> newAncestors = (this.number == 0) ? List.of()
				: java.util.stream.Stream.concat(java.util.stream.Stream.of(key()), this.ancestors.stream())
					.limit(KEPT_ANCESTORS)
					.toList();
		CatalogueVersion unsigned = new CatalogueVersion(this.number + 1, newChangeId, newAuthor, now, this.digest,
				newAncestors, changed, "");
		return unsigned.signed();
	}

	/**
	 * The key of this version in the key-value service.
	 */
	public String key() {
		return String.format("%s%010d-%s", KEY_PREFIX, this.number, this.changeId);
	}

	/**
	 * Whether the digest is that of the content.
	 */
	public boolean intact() {
		return this.number == 0 || computedDigest().equals(this.digest);
	}

	/**
	 * The version as it is stored and sent to peers.
	 */
	public byte[] bytes() {
		return Json.bytes(toJson());
	}

	/**
	 * The version as JSON.
	 */
	public ObjectNode toJson() {
		ObjectNode body = summary();
		this.ancestors.forEach(body.withArray("ancestors")::add);
		body.set("catalogue", CatalogueWriter.write(this.catalogue));
		return body;
	}

	/**
	 * The version without the catalogue.
	 */
	public ObjectNode summary() {
		return Json.object()
			.put("number", this.number)
			.put("changeId", this.changeId)
			.put("author", this.author)
			.put("atMs", this.atMs)
			.put("parentDigest", this.parentDigest)
			.put("digest", this.digest);
	}

	/**
	 * Reads a stored version and checks its digest.
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
			return version.intact() ? Either.right(version) : Either.left(
					Findings.of("/digest", version.digest(), "the digest of the content, " + version.computedDigest()));
		});
	}

	private CatalogueVersion signed() {
		return new CatalogueVersion(this.number, this.changeId, this.author, this.atMs, this.parentDigest,
				this.ancestors, this.catalogue, computedDigest());
	}

	private String computedDigest() {
		ObjectNode body = toJson();
		body.remove("digest");
		return sha256(Json.bytes(body));
	}

	/**
	 * The SHA-256 digest of a text in lower-case hex.
	 */
	public static String sha256(String text) {
		return sha256(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * The SHA-256 digest of bytes in lower-case hex.
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
