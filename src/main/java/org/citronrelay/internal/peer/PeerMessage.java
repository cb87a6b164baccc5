package org.citronrelay.internal.peer;

import java.util.Objects;

import org.citronrelay.Outcome;
import org.citronrelay.internal.claim.Claim;

/**
 * What entry processes say to each other.
 */
public sealed interface PeerMessage {

	/**
	 * A sign of life; answered with one.
	 *
	 * @param status the status of the sender
	 */
	record Heartbeat(PeerStatus status) implements PeerMessage {

		public Heartbeat {
			Objects.requireNonNull(status, "status");
		}

	}

	/**
	 * Asks for a version of the catalogue at least as new as a number.
	 *
	 * @param number the number
	 */
	record CatalogueWanted(long number) implements PeerMessage {
	}

	/**
	 * A document in bytes: a version of the catalogue or JSON.
	 *
	 * @param bytes the document, empty when there is none
	 */
	record Document(byte[] bytes) implements PeerMessage {

		public Document {
			Objects.requireNonNull(bytes, "bytes");
		}

	}

	/**
	 * Asks what became of a claim, and waits for it while it is in progress.
	 *
	 * @param key the key of the claim
	 * @param claim the id of the claim
	 * @param waitMs how long to wait, in milliseconds
	 */
	record OutcomeWanted(String key, String claim, long waitMs) implements PeerMessage {

		public OutcomeWanted {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(claim, "claim");
		}

	}

	/**
	 * What became of a claim.
	 *
	 * @param key the key of the claim
	 * @param claim the claim
	 * @param outcome its outcome
	 */
	record OutcomeKnown(String key, Claim claim, Outcome outcome) implements PeerMessage {

		public OutcomeKnown {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(claim, "claim");
			Objects.requireNonNull(outcome, "outcome");
		}

	}

	/**
	 * Asks for a document about jobs, load or service levels.
	 *
	 * @param topic which
	 * @param argument what of it
	 */
	record DocumentWanted(String topic, String argument) implements PeerMessage {

		public DocumentWanted {
			Objects.requireNonNull(topic, "topic");
			Objects.requireNonNull(argument, "argument");
		}

	}

	/**
	 * There is nothing to say.
	 */
	record Nothing() implements PeerMessage {
	}

}
