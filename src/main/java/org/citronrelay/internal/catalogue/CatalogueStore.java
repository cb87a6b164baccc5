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
 * The versions of the catalogue in the key-value service, and the one head that is moved
 * by compare-and-swap.
 */
public final class CatalogueStore {

	/** The key of the head. */
	public static final String HEAD = "/citronrelay/catalogue/head";

	private static final int HEAD_ATTEMPTS = 3;

	private final KeyValueService kv;

	private final AppliedCatalogue applied;

	private final Function<Catalogue, Findings> check;

	/**
	 * Creates the store.
	 * @param check what a catalogue must meet beside its own form, such as that the fleet
	 * can hold its guarantees
	 */
	public CatalogueStore(KeyValueService kv, AppliedCatalogue applied, Function<Catalogue, Findings> check) {
		this.kv = kv;
		this.applied = applied;
		this.check = check;
	}

	/**
	 * Reads the head and puts it in force where it is newer. Where the service has gone
	 * back to an older copy, the version in force is stored again.
	 */
	public Either<KvFailure, Head> refresh() {
		return this.kv.read(HEAD).flatMap(this::take);
	}

	/**
	 * Takes a head that a read or a watch brought.
	 */
	public Either<KvFailure, Head> take(Option<KvEntry> stored) {
		Head head = stored.map(Head::read).getOrElse(Head.EMPTY);
		CatalogueVersion current = this.applied.current();
		if (head.number() > current.number()) {
			return load(head.key()).map((version) -> {
				version.forEach(this.applied::offer);
				return head;
			});
		}
		if (head.number() < current.number()) {
			return storeAgain(current, head);
		}
		return Either.right(head);
	}

	/**
	 * Applies a change made on top of the version with number {@code base}.
	 * @param now the wall clock in milliseconds, for the history
	 */
	public ApplyResult apply(byte[] document, long base, String author, long now) {
		return CatalogueReader.read(document)
			.fold(ApplyResult.Invalid::new, (catalogue) -> apply(catalogue, base, author, now));
	}

	/**
	 * The latest versions, newest first.
	 */
	public Either<KvFailure, List<CatalogueVersion>> history(int most) {
		List<CatalogueVersion> versions = new ArrayList<>();
		CatalogueVersion newest = this.applied.current();
		if (newest.number() > 0) {
			versions.add(newest);
		}
		for (String key : newest.ancestors().stream().limit(Math.max(0, most - 1)).toList()) {
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
			return new ApplyResult.NotApplied("the key-value service did not answer, " + read.getLeft().phrase());
		}
		CatalogueVersion current = this.applied.current();
		Head head = read.get();
		if (head.number() != current.number()) {
			return new ApplyResult.NotApplied("version " + head.number() + " of the head could not be read yet");
		}
		if (base != current.number()) {
			return conflict(changed, base, current);
		}
		Findings findings = this.check.apply(changed);
		if (!findings.isEmpty()) {
			return new ApplyResult.Invalid(findings);
		}
		return EntryIds.assign(current.catalogue(), changed, () -> UUID.randomUUID().toString())
			.fold(ApplyResult.Invalid::new,
					(assigned) -> commit(current.next(UUID.randomUUID().toString(), author, now, assigned), head,
							current));
	}

	private ApplyResult commit(CatalogueVersion version, Head head, CatalogueVersion parent) {
		byte[] bytes = version.bytes();
		if (bytes.length > KeyValueService.LARGEST_VALUE_BYTES) {
			return new ApplyResult.Invalid(Findings.of("", bytes.length + " bytes",
					"a catalogue of at most " + KeyValueService.LARGEST_VALUE_BYTES + " bytes in canonical form"));
		}
		Either<KvFailure, KvEntry> stored = this.kv.write(version.key(), bytes, Expectation.absent(),
				KeyValueService.NO_LEASE);
		if (stored.isLeft() && !(stored.getLeft() instanceof KvFailure.Ambiguous && isStored(version))) {
			return new ApplyResult.NotApplied("the version could not be stored, " + stored.getLeft().phrase());
		}
		ApplyResult result = moveHead(version, head, parent, HEAD_ATTEMPTS);
		if (result instanceof ApplyResult.Accepted) {
			this.applied.offer(version);
			dropOldest(parent);
		}
		return result;
	}

	/**
	 * Moves the head. A write whose reply was lost is repeated with the same expectation,
	 * so that at most one of them takes effect.
	 */
	private ApplyResult moveHead(CatalogueVersion version, Head head, CatalogueVersion parent, int attempts) {
		Either<KvFailure, KvEntry> moved = this.kv.write(HEAD, Head.bytes(version), head.expectation(),
				KeyValueService.NO_LEASE);
		if (moved.isRight()) {
			return new ApplyResult.Accepted(version);
		}
		return switch (moved.getLeft()) {
			case KvFailure.Conflict _ -> readBack(version, parent);
			case KvFailure.Unavailable unavailable when attempts == HEAD_ATTEMPTS ->
				new ApplyResult.NotApplied(unavailable.phrase());
			case KvFailure failure when attempts == 1 -> new ApplyResult.Unknown(version.changeId(), failure.phrase());
			case KvFailure _ -> moveHead(version, head, parent, attempts - 1);
		};
	}

	/**
	 * Finds out which change won after a conflict: ours is the head or an ancestor of it
	 * when the reply of an earlier attempt was lost.
	 */
	private ApplyResult readBack(CatalogueVersion version, CatalogueVersion parent) {
		Either<KvFailure, Head> read = refresh();
		CatalogueVersion current = this.applied.current();
		if (read.isLeft()) {
			return new ApplyResult.Unknown(version.changeId(), read.getLeft().phrase());
		}
		if (current.equals(version) || current.ancestors().contains(version.key())) {
			return new ApplyResult.Accepted(version);
		}
		return conflict(version.catalogue(), parent.number(), current);
	}

	private ApplyResult conflict(Catalogue changed, long base, CatalogueVersion current) {
		Option<Catalogue> baseCatalogue = (base == 0) ? Option.some(Catalogue.EMPTY) : versionOf(base, current);
		Set<String> clashes = baseCatalogue.map((before) -> {
			Set<String> both = CatalogueDiff.changed(before, changed);
			both.retainAll(CatalogueDiff.changed(before, current.catalogue()));
			return both;
		}).getOrElse(Set.of());
		return new ApplyResult.Conflicting(current.number(), List.copyOf(clashes));
	}

	private Option<Catalogue> versionOf(long number, CatalogueVersion current) {
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
				Part.CATALOGUE.logger().error("Version {} is damaged: {}.", key, version.getLeft().text());
			}
			return version.toOption();
		}));
	}

	private Either<KvFailure, Head> storeAgain(CatalogueVersion current, Head head) {
		Part.CATALOGUE.logger()
			.warn("The head went back to {}, storing version {} again.", head.number(), current.number());
		this.kv.write(current.key(), current.bytes(), Expectation.absent(), KeyValueService.NO_LEASE);
		return this.kv.write(HEAD, Head.bytes(current), head.expectation(), KeyValueService.NO_LEASE).map(Head::read);
	}

	private void dropOldest(CatalogueVersion parent) {
		if (parent.ancestors().size() < CatalogueVersion.KEPT_ANCESTORS) {
			return;
		}
		String oldest = parent.ancestors().getLast();
		this.kv.read(oldest).forEach((entry) -> entry.forEach((present) -> this.kv.delete(oldest, present.revision())));
	}

	/**
	 * The head as it is stored.
	 *
	 * @param number the number of the version
	 * @param key the key of the version
	 * @param revision the revision of the head itself, 0 when there is none
	 */
	public record Head(long number, String key, long revision) {

		static final Head EMPTY = new Head(0, "", 0);

		static Head read(KvEntry entry) {
			JsonNode body = Json.parseOwn(entry.value());
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
