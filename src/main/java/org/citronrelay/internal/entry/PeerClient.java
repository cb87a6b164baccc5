package org.citronrelay.internal.entry;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.Outcome;
import org.citronrelay.internal.claim.AtMostOnceExecutor.ClaimPeers;
import org.citronrelay.internal.claim.Claim;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.peer.PeerMessage;
import org.citronrelay.internal.peer.PeerNode;
import org.citronrelay.internal.peer.PeerTable;
import org.citronrelay.internal.peer.PeerTable.Peer;
import org.citronrelay.internal.time.Ticker;

/**
 * Calls other entry processes for outcomes, jobs and reports.
 */
final class PeerClient implements ClaimPeers {

	/** Topic: the claim of an idempotency key. */
	static final String TOPIC_CLAIM = "claim";

	/** Topic: a job as its holder knows it. */
	static final String TOPIC_JOB = "job";

	/** Topic: passes a changed job record to the holder; has no document. */
	static final String TOPIC_RECORD = "record";

	/** Topic: the service levels of one process. */
	static final String TOPIC_LEVELS = "levels";

	private static final int OUTCOME_COPIES = 2;

	private static final long CALL_TIMEOUT_MS = 1_000;

	private final PeerNode node;

	private final PeerTable table;

	private final ExecutorService executor;

	private final Ticker ticker;

	private final String failureDomain;

	PeerClient(PeerNode node, PeerTable table, ExecutorService executor, Ticker ticker, String failureDomain) {
		this.node = node;
		this.table = table;
		this.executor = executor;
		this.ticker = ticker;
		this.failureDomain = failureDomain;
	}

	/**
	 * Asks the process that owns the claim first, then all other live peers, because one
	 * of them may have a copy of the outcome.
	 */
	@Override
	public Outcome outcome(String key, Claim claim, long waitMs) {
		Comparator<Peer> ownerFirst = Comparator.comparing((peer) -> !peer.status().process().equals(claim.process()));
		Outcome unreachable = new Outcome.Unknown("the entry process " + claim.process() + " cannot be reached");
		for (Peer peer : alive().sorted(ownerFirst).toList()) {
			boolean owner = peer.status().process().equals(claim.process());
			long maxWaitMs = owner ? waitMs : Math.min(waitMs, CALL_TIMEOUT_MS);
			Either<String, PeerMessage> answer = this.node.call(peer.status().address(),
					new PeerMessage.OutcomeRequest(key, claim.id(), owner ? waitMs : 0), maxWaitMs + CALL_TIMEOUT_MS);
			if (answer.isRight() && answer.get() instanceof PeerMessage.OutcomeReport report) {
				if (owner || !(report.outcome() instanceof Outcome.Unknown)) {
					return report.outcome();
				}
			}
		}
		return unreachable;
	}

	@Override
	public void replicate(String key, Claim claim, Outcome outcome) {
		Comparator<Peer> otherDomainsFirst = Comparator
			.comparing((peer) -> peer.status().failureDomain().equals(this.failureDomain));
		PeerMessage message = new PeerMessage.OutcomeReport(key, claim, outcome);
		alive().sorted(otherDomainsFirst)
			.limit(OUTCOME_COPIES)
			.forEach((peer) -> this.executor
				.execute(() -> this.node.call(peer.status().address(), message, CALL_TIMEOUT_MS)));
	}

	@Override
	public Option<Claim> claimOf(String key) {
		for (Peer peer : alive().toList()) {
			Option<byte[]> document = document(peer, TOPIC_CLAIM, key);
			if (document.isDefined()) {
				return document.map(Claim::read);
			}
		}
		return Option.none();
	}

	/**
	 * Returns the state of a job as the holder of its failure domain knows it; nothing if
	 * no holder answers or it does not know the job.
	 */
	Option<ObjectNode> job(String domain, String jobId) {
		return holder(domain).flatMap((peer) -> document(peer, TOPIC_JOB, jobId))
			.flatMap((bytes) -> Json.parse(bytes).toOption())
			.map((node) -> (ObjectNode) node);
	}

	/**
	 * Passes a changed job record to the holder of a failure domain without waiting for
	 * the call to end.
	 */
	void recordChanged(String domain, JsonNode record) {
		String text = new String(Json.bytes(record), StandardCharsets.UTF_8);
		holder(domain).forEach((peer) -> this.executor.execute(() -> document(peer, TOPIC_RECORD, text)));
	}

	/**
	 * Returns a document of a peer; nothing if the peer did not answer or has none.
	 * @param peer the peer
	 * @param topic one of the topics of this class
	 * @param argument the key, id or record that the topic refers to, empty if none
	 */
	Option<byte[]> document(Peer peer, String topic, String argument) {
		Either<String, PeerMessage> answer = this.node.call(peer.status().address(),
				new PeerMessage.DocumentRequest(topic, argument), CALL_TIMEOUT_MS);
		return answer.toOption()
			.filter((message) -> message instanceof PeerMessage.Document document && document.bytes().length > 0)
			.map((message) -> ((PeerMessage.Document) message).bytes());
	}

	/**
	 * Returns the live peer that holds a failure domain. If several report that they do,
	 * the one with the newest epoch is the holder.
	 */
	Option<Peer> holder(String domain) {
		return Option
			.ofOptional(alive().filter((peer) -> peer.status().holder() && peer.status().failureDomain().equals(domain))
				.max(Comparator.comparingLong((peer) -> peer.status().epoch())));
	}

	/**
	 * Returns all known peers, reachable or not.
	 */
	List<Peer> knownPeers() {
		return this.table.all();
	}

	private Stream<Peer> alive() {
		return this.table.alive(this.ticker.millis()).stream();
	}

}
