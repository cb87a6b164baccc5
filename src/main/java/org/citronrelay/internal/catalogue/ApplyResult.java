package org.citronrelay.internal.catalogue;

import java.util.List;
import java.util.Objects;

import org.citronrelay.Findings;

/**
 * The result of applying a change to the catalogue.
 */
public sealed interface ApplyResult {

	/**
	 * The change was stored as a new version, which is in force.
	 *
	 * @param version the new version
	 */
	record Accepted(CatalogueVersion version) implements ApplyResult {

		public Accepted {
			Objects.requireNonNull(version, "version");
		}

	}

	/**
	 * The document is invalid; nothing was changed.
	 *
	 * @param findings the errors in the document
	 */
	record Invalid(Findings findings) implements ApplyResult {

		public Invalid {
			Objects.requireNonNull(findings, "findings");
		}

	}

	/**
	 * The change is based on a version that is no longer in force; nothing was changed.
	 *
	 * @param headNumber the number of the version now in force
	 * @param conflictingEntries the entries changed both by this change and since its
	 * base version, as "kind/name"; also empty if the base version is no longer stored
	 */
	record Conflicting(long headNumber, List<String> conflictingEntries) implements ApplyResult {

		public Conflicting {
			conflictingEntries = List.copyOf(conflictingEntries);
		}

	}

	/**
	 * The key-value service could not be read or written; nothing was changed.
	 *
	 * @param reason which call failed and how
	 */
	record NotApplied(String reason) implements ApplyResult {

		public NotApplied {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * It is not known whether the change was accepted.
	 *
	 * @param changeId the id under which the change is in the history if it was accepted
	 * @param reason which call failed and how
	 */
	record Unknown(String changeId, String reason) implements ApplyResult {

		public Unknown {
			Objects.requireNonNull(changeId, "changeId");
			Objects.requireNonNull(reason, "reason");
		}

	}

}
