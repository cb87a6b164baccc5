package org.citronrelay.internal.api;

import java.util.List;

import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.http.HttpCall;

/**
 * Who sent a call, told by its bearer token. Only digests of tokens are kept.
 */
sealed interface Caller {

	/**
	 * Who sent the call.
	 */
	static Caller of(HttpCall call, Catalogue catalogue, List<String> operatorTokenDigests) {
		String header = call.header("Authorization").getOrElse("");
		if (!header.startsWith("Bearer ")) {
			return new Nobody();
		}
		String digest = CatalogueVersion.sha256(header.substring("Bearer ".length()).strip());
		if (operatorTokenDigests.contains(digest)) {
			return new Operator("operator-" + digest.substring(0, 8));
		}
		return catalogue.teams()
			.stream()
			.filter((team) -> team.tokenDigests().contains(digest))
			.findFirst()
			.<Caller>map(Member::new)
			.orElseGet(Nobody::new);
	}

	/**
	 * An operator.
	 *
	 * @param name a name for the history, from the digest of the token
	 */
	record Operator(String name) implements Caller {
	}

	/**
	 * A member of a team.
	 *
	 * @param team the team
	 */
	record Member(Team team) implements Caller {
	}

	/**
	 * Somebody without a known token.
	 */
	record Nobody() implements Caller {
	}

}
