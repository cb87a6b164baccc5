package org.citronrelay.internal.api;

import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.Catalogue;
import org.citronrelay.Findings;
import org.citronrelay.internal.catalogue.AppliedCatalogue;
import org.citronrelay.internal.catalogue.ApplyResult;
import org.citronrelay.internal.catalogue.CatalogueReader;
import org.citronrelay.internal.catalogue.CatalogueStore;
import org.citronrelay.internal.catalogue.CatalogueWriter;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.json.Json;

/**
 * HTTP interface for operators to read, check and change the catalogue.
 */
final class CatalogueApi {

	private static final int MAX_HISTORY_VERSIONS = 50;

	private final CatalogueStore store;

	private final AppliedCatalogue applied;

	private final Function<Catalogue, Findings> check;

	private final Supplier<ObjectNode> inForce;

	/**
	 * Creates the interface.
	 * @param check checks a well-formed catalogue beyond its syntax
	 * @param inForce reports the version in force at each entry process
	 */
	CatalogueApi(CatalogueStore store, AppliedCatalogue applied, Function<Catalogue, Findings> check,
			Supplier<ObjectNode> inForce) {
		this.store = store;
		this.applied = applied;
		this.check = check;
		this.inForce = inForce;
	}

	HttpReply handle(HttpCall call, String author, long wallMs) {
		return switch (call.method() + " " + call.path()) {
			case "GET /v1/catalogue" -> HttpReply.json(200, this.applied.current().toJson());
			case "PUT /v1/catalogue" -> apply(call, author, wallMs);
			case "POST /v1/catalogue/validate" -> validate(call);
			case "GET /v1/catalogue/history" -> history();
			case "GET /v1/catalogue/in-force" -> HttpReply.json(200, this.inForce.get());
			default -> Problem.of(404, "not-found", "There is no such path or method.", "See docs/CALLERS.md.").reply();
		};
	}

	private HttpReply apply(HttpCall call, String author, long wallMs) {
		String base = call.parameter("base", "");
		if (!base.matches("[0-9]{1,12}")) {
			return Problem
				.of(400, "base-missing", "The change does not name the version it is based on.",
						"Send ?base=NUMBER with the number of the version that was edited.")
				.reply();
		}
		return reply(this.store.apply(call.body(), Long.parseLong(base), author, wallMs));
	}

	private HttpReply validate(HttpCall call) {
		return CatalogueReader.read(call.body())
			.fold((findings) -> Problem.findings("catalogue", findings).reply(), (catalogue) -> {
				Findings findings = this.check.apply(catalogue);
				return findings.isEmpty() ? HttpReply.json(200, CatalogueWriter.write(catalogue))
						: Problem.findings("catalogue", findings).reply();
			});
	}

	private HttpReply history() {
		return this.store.history(MAX_HISTORY_VERSIONS)
			.fold((failure) -> Problem
				.of(503, "platform", "The history cannot be read: " + failure.message() + ".", "Try again later.")
				.reply(), (versions) -> {
					ObjectNode body = Json.object();
					body.putArray("versions");
					versions.forEach((version) -> body.withArray("versions").add(version.summary()));
					return HttpReply.json(200, body);
				});
	}

	private static HttpReply reply(ApplyResult result) {
		return switch (result) {
			case ApplyResult.Accepted accepted -> HttpReply.json(200, accepted.version().summary());
			case ApplyResult.Invalid invalid -> Problem.findings("catalogue", invalid.findings()).reply();
			case ApplyResult.Conflicting conflict -> {
				Problem problem = Problem.of(409, "conflict",
						"The catalogue was changed in the meantime; version " + conflict.headNumber()
								+ " is in force. Nothing was changed.",
						"Export the catalogue, make the change again and apply it with the new base.");
				conflict.conflictingEntries().forEach(problem.body().withArray("clashes")::add);
				yield problem.reply();
			}
			case ApplyResult.NotApplied notApplied -> Problem
				.of(503, "not-applied", "Nothing was changed: " + notApplied.reason() + ".", "Apply it again later.")
				.reply();
			case ApplyResult.Unknown unknown -> Problem
				.of(504, "unknown", "The change may have been accepted: " + unknown.reason() + ".",
						"Look for change " + unknown.changeId() + " in the history before applying it again.")
				.with("changeId", unknown.changeId())
				.reply();
		};
	}

}
