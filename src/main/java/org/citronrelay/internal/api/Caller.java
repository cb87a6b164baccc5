package org.citronrelay.internal.api;

import java.util.List;

import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.http.HttpCall;

/**
 * The sender of a call, identified by its bearer token. Tokens are compared by their
 * SHA-256 digests; the tokens themselves are not stored.
 */
sealed interface Caller {

	/**
	 * Identifies the sender of a call.
	 * @return {@link Unidentified} if the call has no token or an unknown one
	 */
	static Caller of(HttpCall call, Catalogue catalogue, List<String> operatorTokenDigests) {
		String header = call.header("Authorization").getOrElse("");
		if (!header.startsWith("Bearer ")) {
			return new Unidentified();
		}
		String digest = CatalogueVersion.sha256(header.substring("Bearer ".length()).strip());
		if (operatorTokenDigests.contains(digest)) {
			return new Operator("operator-" + digest.substring(0, 8));
		}
		return catalogue.teams()
			.stream()
			.filter((team) -> team.tokenDigests().contains(digest))
			.findFirst()
			.<Caller>map(TeamMember::new)
			.orElseGet(Unidentified::new);
	}

	/**
	 * An operator.
	 *
	 * @param name the author name shown in the history of the catalogue, made from the
	 * digest of the token
	 */
	record Operator(String name) implements Caller {
	}

	/**
	 * A member of a team.
	 *
	 * @param team the team
	 */
	record TeamMember(Team team) implements Caller {
	}

	/**
	 * A caller without a token or with an unknown one.
	 */
	record Unidentified() implements Caller {
	}

}
