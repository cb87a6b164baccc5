package org.citronrelay.internal.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.Findings;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.Expectation;
import org.citronrelay.internal.platform.KeyValueService;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.platform.KvFailure;

/**
 * Stores the versions of the catalogue in the key-value service. Each version has a key
 * of its own that is written once; the head is a key that refers to the version in force
 * and is updated by compare-and-swap, so that of concurrent changes only one is accepted.
 */
public final class CatalogueStore {

	/** The key of the head in the key-value service. */
	public static final String HEAD_KEY = "/citronrelay/catalogue/head";

	private static final int MAX_HEAD_WRITES = 3;

	private final KeyValueService kv;

	private final AppliedCatalogue applied;

	private final Function<Catalogue, Findings> additionalCheck;

	/**
	 * Creates the store.
	 * @param kv the key-value service
	 * @param applied the version in force in this process
	 * @param additionalCheck checks a valid catalogue before it is applied, for example
	 * whether the fleet has the capacity for its guarantees
	 */
	public CatalogueStore(KeyValueService kv, AppliedCatalogue applied, Function<Catalogue, Findings> additionalCheck) {
		this.kv = kv;
		this.applied = applied;
		this.additionalCheck = additionalCheck;
	}

	/**
	 * Reads the head and puts its version in force if that is newer. If the head is older
	 * than the version in force, as after the key-value service was restored from a
	 * backup, the version in force is stored again.
	 * @return the head as it is stored now, or why it could not be read or written
	 */
	public Either<KvFailure, Head> refresh() {
		return this.kv.read(HEAD_KEY).flatMap(this::applyHead);
	}

	/**
	 * Applies a head that was read or reported by a watch, as {@link #refresh()} does.
	 */
	public Either<KvFailure, Head> applyHead(Option<KvEntry> stored) {
		Head head = stored.map(Head::read).getOrElse(Head.EMPTY);
		CatalogueVersion current = this.applied.current();
		if (head.number() > current.number()) {
			return load(head.key()).map((version) -> {
				version.forEach(this.applied::applyIfNewer);
				return head;
			});
		}
		if (head.number() < current.number()) {
			return restore(current, head);
		}
		return Either.right(head);
	}

	/**
	 * Applies a change that is based on the version with number {@code base}.
	 * @param document the complete changed catalogue as JSON
	 * @param base the number of the version that was changed, 0 for the empty catalogue
	 * @param author who makes the change, for the history
	 * @param now the wall clock in milliseconds, for the history
	 */
	public ApplyResult apply(byte[] document, long base, String author, long now) {
		return CatalogueReader.read(document)
			.fold(ApplyResult.Invalid::new, (catalogue) -> apply(catalogue, base, author, now));
	}

	/**
	 * Returns up to {@code limit} versions, newest first, starting with the one in force.
	 * Versions that are deleted or invalid are left out.
	 */
	public Either<KvFailure, List<CatalogueVersion>> history(int limit) {
		List<CatalogueVersion> versions = new ArrayList<>();
		CatalogueVersion newest = this.applied.current();
		if (newest.number() > 0) {
			versions.add(newest);
		}
		for (String key : newest.ancestors().stream().limit(Math.max(0, limit - 1)).toList()) {
			Either<KvFailure, Option<CatalogueVersion>> loaded = load(key);
			if (loaded.isLeft()) {
				return Either.left(loaded.getLeft());
			}
			loaded.get().forEach(versions::add);
		}
		return Either.right(versions);
	}

	private ApplyResult apply(Catalogue changed, long base, String author, long now) {
		Either<KvFailure, Head> read = refresh();
		if (read.isLeft()) {
			return new ApplyResult.NotApplied(
					"the catalogue head could not be read or restored: " + read.getLeft().message());
		}
		CatalogueVersion current = this.applied.current();
		Head head = read.get();
		if (head.number() != current.number()) {
			return new ApplyResult.NotApplied(
					"catalogue version " + head.number() + ", to which the head refers, could not be read");
		}
		if (base != current.number()) {
			return conflict(changed, base, current);
		}
		Findings findings = this.additionalCheck.apply(changed);
		if (!findings.isEmpty()) {
			return new ApplyResult.Invalid(findings);
		}
		return EntryIdAssigner.assign(current.catalogue(), changed, () -> UUID.randomUUID().toString())
			.fold(ApplyResult.Invalid::new,
					(assigned) -> commit(current.next(UUID.randomUUID().toString(), author, now, assigned), head,
							current));
	}

	private ApplyResult commit(CatalogueVersion version, Head head, CatalogueVersion parent) {
		byte[] bytes = version.bytes();
		if (bytes.length > KeyValueService.MAX_VALUE_BYTES) {
			return new ApplyResult.Invalid(Findings.of("", bytes.length + " bytes",
					"a catalogue of at most " + KeyValueService.MAX_VALUE_BYTES + " bytes in canonical form"));
		}
		Either<KvFailure, KvEntry> stored = this.kv.write(version.key(), bytes, Expectation.absent(),
				KeyValueService.NO_LEASE);
		if (stored.isLeft() && !(stored.getLeft() instanceof KvFailure.Ambiguous && isStored(version))) {
			return new ApplyResult.NotApplied("the new version could not be stored: " + stored.getLeft().message());
		}
		ApplyResult result = updateHead(version, head, parent, MAX_HEAD_WRITES);
		if (result instanceof ApplyResult.Accepted) {
			this.applied.applyIfNewer(version);
			deleteOldestVersion(parent);
		}
		return result;
	}

	/**
	 * Points the head at the version. A write whose reply was lost is repeated with the
	 * same expected revision, so that at most one of the writes takes effect.
	 */
	private ApplyResult updateHead(CatalogueVersion version, Head head, CatalogueVersion parent, int attempts) {
		Either<KvFailure, KvEntry> written = this.kv.write(HEAD_KEY, Head.bytes(version), head.expectation(),
				KeyValueService.NO_LEASE);
		if (written.isRight()) {
			return new ApplyResult.Accepted(version);
		}
		return switch (written.getLeft()) {
			case KvFailure.Conflict _ -> resolveConflict(version, parent);
			case KvFailure.Unavailable unavailable when attempts == MAX_HEAD_WRITES ->
				new ApplyResult.NotApplied(unavailable.message());
			case KvFailure failure when attempts == 1 -> new ApplyResult.Unknown(version.changeId(), failure.message());
			case KvFailure _ -> updateHead(version, head, parent, attempts - 1);
		};
	}

	/**
	 * Determines after a conflict whether this change was accepted. It was, and the reply
	 * to an earlier attempt was lost, if its version is in force or an ancestor of the
	 * version in force.
	 */
	private ApplyResult resolveConflict(CatalogueVersion version, CatalogueVersion parent) {
		Either<KvFailure, Head> read = refresh();
		CatalogueVersion current = this.applied.current();
		if (read.isLeft()) {
			return new ApplyResult.Unknown(version.changeId(), read.getLeft().message());
		}
		if (current.equals(version) || current.ancestors().contains(version.key())) {
			return new ApplyResult.Accepted(version);
		}
		return conflict(version.catalogue(), parent.number(), current);
	}

	private ApplyResult conflict(Catalogue changed, long base, CatalogueVersion current) {
		Option<Catalogue> baseCatalogue = (base == 0) ? Option.some(Catalogue.EMPTY)
				: catalogueOfVersion(base, current);
		Set<String> conflicting = baseCatalogue.map((baseVersion) -> {
			Set<String> changedInBoth = CatalogueDiff.changedEntries(baseVersion, changed);
			changedInBoth.retainAll(CatalogueDiff.changedEntries(baseVersion, current.catalogue()));
			return changedInBoth;
		}).getOrElse(Set.of());
		return new ApplyResult.Conflicting(current.number(), List.copyOf(conflicting));
	}

	private Option<Catalogue> catalogueOfVersion(long number, CatalogueVersion current) {
		String prefix = String.format("%010d-", number);
		return Option.ofOptional(current.ancestors().stream().filter((key) -> key.contains("/" + prefix)).findFirst())
			.flatMap((key) -> load(key).getOrElse(Option.none()))
			.map(CatalogueVersion::catalogue);
	}

	private boolean isStored(CatalogueVersion version) {
		return load(version.key()).exists((loaded) -> loaded.exists((found) -> found.equals(version)));
	}

	private Either<KvFailure, Option<CatalogueVersion>> load(String key) {
		return this.kv.read(key).map((entry) -> entry.flatMap((present) -> {
			Either<Findings, CatalogueVersion> version = CatalogueVersion.read(present.value());
			if (version.isLeft()) {
				Part.CATALOGUE.logger()
					.error("The catalogue version stored at {} is invalid and is ignored: {}.", key,
							version.getLeft().text());
			}
			return version.toOption();
		}));
	}

	private Either<KvFailure, Head> restore(CatalogueVersion current, Head head) {
		Part.CATALOGUE.logger()
			.warn("The catalogue head in the key-value service is at the older version {}; storing version {} again.",
					head.number(), current.number());
		this.kv.write(current.key(), current.bytes(), Expectation.absent(), KeyValueService.NO_LEASE);
		return this.kv.write(HEAD_KEY, Head.bytes(current), head.expectation(), KeyValueService.NO_LEASE)
			.map(Head::read);
	}

	private void deleteOldestVersion(CatalogueVersion parent) {
		if (parent.ancestors().size() < CatalogueVersion.MAX_ANCESTORS) {
			return;
		}
		String oldest = parent.ancestors().getLast();
		this.kv.read(oldest).forEach((entry) -> entry.forEach((present) -> this.kv.delete(oldest, present.revision())));
	}

	/**
	 * The stored head, which refers to the version in force.
	 *
	 * @param number the number of the version, 0 when there is no head
	 * @param key the key of the version
	 * @param revision the revision of the head's own entry in the key-value service, 0
	 * when there is none
	 */
	public record Head(long number, String key, long revision) {

		static final Head EMPTY = new Head(0, "", 0);

		static Head read(KvEntry entry) {
			JsonNode body = Json.parseTrusted(entry.value());
			return new Head(body.path("number").asLong(), body.path("key").asText(), entry.revision());
		}

		static byte[] bytes(CatalogueVersion version) {
			return Json.bytes(Json.object().put("number", version.number()).put("key", version.key()));
		}

		Expectation expectation() {
			return (this.revision == 0) ? Expectation.absent() : Expectation.revision(this.revision);
		}

	}

}
