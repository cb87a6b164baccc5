package org.citronrelay.internal.catalogue;

import java.util.List;
import java.util.Objects;

import org.citronrelay.Findings;

/**
 * What became of a change of the catalogue.
 */
public sealed interface ApplyResult {

	/**
	 * The change is accepted.
	 *
	 * @param version the new version
	 */
	record Accepted(CatalogueVersion version) implements ApplyResult {

		public Accepted {
			Objects.requireNonNull(version, "version");
		}

	}

	/**
	 * The change has findings; nothing was changed.
	 *
	 * @param findings the findings
	 */
	record Invalid(Findings findings) implements ApplyResult {

		public Invalid {
			Objects.requireNonNull(findings, "findings");
		}

	}

	/**
	 * Another change came first; nothing was changed.
	 *
	 * @param head the number of the version now in force
	 * @param clashes the entries that both changes touch
	 */
	record Conflicting(long head, List<String> clashes) implements ApplyResult {

		public Conflicting {
			clashes = List.copyOf(clashes);
		}

	}

	/**
	 * The platform did not take the change; nothing was changed.
	 *
	 * @param reason what was seen
	 */
	record NotApplied(String reason) implements ApplyResult {

		public NotApplied {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * The change may have been accepted.
	 *
	 * @param changeId the id by which to ask
	 * @param reason what was seen
	 */
	record Unknown(String changeId, String reason) implements ApplyResult {

		public Unknown {
			Objects.requireNonNull(changeId, "changeId");
			Objects.requireNonNull(reason, "reason");
		}

	}

}
