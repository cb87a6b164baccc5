package org.citronrelay.internal.peer;

import java.util.Objects;

import org.citronrelay.Outcome;
import org.citronrelay.internal.claim.Claim;

/**
 * A message between entry processes: a call, or the reply to one.
 */
public sealed interface PeerMessage {

	/**
	 * Reports the status of the sender; the receiver replies with its own heartbeat.
	 *
	 * @param status the status of the sender
	 */
	record Heartbeat(PeerStatus status) implements PeerMessage {

		public Heartbeat {
			Objects.requireNonNull(status, "status");
		}

	}

	/**
	 * Asks for the catalogue in force at the receiver. The reply is a {@link Document},
	 * empty if the receiver's version is older than requested.
	 *
	 * @param minNumber the lowest version number that the caller accepts
	 */
	record CatalogueRequest(long minNumber) implements PeerMessage {
	}

	/**
	 * A document: a version of the catalogue, a claim or JSON.
	 *
	 * @param bytes the document, empty if there is none
	 */
	record Document(byte[] bytes) implements PeerMessage {

		public Document {
			Objects.requireNonNull(bytes, "bytes");
		}

	}

	/**
	 * Asks for the outcome of a claim; the reply is an {@link OutcomeReport}.
	 *
	 * @param key the key of the claim
	 * @param claimId the id of the claim
	 * @param waitMs how long the receiver waits for a request that is in progress, in
	 * milliseconds
	 */
	record OutcomeRequest(String key, String claimId, long waitMs) implements PeerMessage {

		public OutcomeRequest {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(claimId, "claimId");
		}

	}

	/**
	 * Reports the outcome of a claim: the reply to an {@link OutcomeRequest}, or a copy
	 * for the receiver to store.
	 *
	 * @param key the key of the claim
	 * @param claim the claim
	 * @param outcome its outcome
	 */
	record OutcomeReport(String key, Claim claim, Outcome outcome) implements PeerMessage {

		public OutcomeReport {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(claim, "claim");
			Objects.requireNonNull(outcome, "outcome");
		}

	}

	/**
	 * Asks for a document about claims, jobs or service levels, or passes on a changed
	 * job record. The reply is a {@link Document}.
	 *
	 * @param topic the kind of document
	 * @param argument the key, id or record that the topic refers to, empty if none
	 */
	record DocumentRequest(String topic, String argument) implements PeerMessage {

		public DocumentRequest {
			Objects.requireNonNull(topic, "topic");
			Objects.requireNonNull(argument, "argument");
		}

	}

	/**
	 * A reply without content.
	 */
	record NoContent() implements PeerMessage {
	}

}
