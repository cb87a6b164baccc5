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
import org.citronrelay.internal.claim.Claim;
import org.citronrelay.internal.claim.ClaimDesk.ClaimPeers;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.peer.PeerMessage;
import org.citronrelay.internal.peer.PeerNode;
import org.citronrelay.internal.peer.PeerTable;
import org.citronrelay.internal.peer.PeerTable.Peer;
import org.citronrelay.internal.time.Ticker;

/**
 * Asks other entry processes on behalf of the parts of this one.
 */
final class PeerDesk implements ClaimPeers {

	/** The topics of documents. */
	static final String CLAIM = "claim";

	static final String JOB = "job";

	static final String RECORD = "record";

	static final String LEVELS = "levels";

	private static final int COPIES = 2;

	private static final long CALL_TIMEOUT_MS = 1_000;

	private final PeerNode node;

	private final PeerTable table;

	private final ExecutorService executor;

	private final Ticker ticker;

	private final String failureDomain;

	PeerDesk(PeerNode node, PeerTable table, ExecutorService executor, Ticker ticker, String failureDomain) {
		this.node = node;
		this.table = table;
		this.executor = executor;
		this.ticker = ticker;
		this.failureDomain = failureDomain;
	}

	/**
	 * Asks the process that has the claim, then everybody else, one of whom may have a
	 * copy.
	 */
	@Override
	public Outcome outcome(String key, Claim claim, long waitMs) {
		Comparator<Peer> ownerFirst = Comparator.comparing((peer) -> !peer.status().process().equals(claim.process()));
		Outcome last = new Outcome.Unknown("the entry process " + claim.process() + " cannot be asked");
		for (Peer peer : alive().sorted(ownerFirst).toList()) {
			boolean owner = peer.status().process().equals(claim.process());
			long limit = owner ? waitMs : Math.min(waitMs, CALL_TIMEOUT_MS);
			Either<String, PeerMessage> answer = this.node.call(peer.status().address(),
					new PeerMessage.OutcomeWanted(key, claim.id(), owner ? waitMs : 0), limit + CALL_TIMEOUT_MS);
			if (answer.isRight() && answer.get() instanceof PeerMessage.OutcomeKnown known) {
				if (owner || !(known.outcome() instanceof Outcome.Unknown)) {
					return known.outcome();
				}
			}
		}
		return last;
	}

	@Override
	public void copy(String key, Claim claim, Outcome outcome) {
		Comparator<Peer> farFirst = Comparator
			.comparing((peer) -> peer.status().failureDomain().equals(this.failureDomain));
		PeerMessage message = new PeerMessage.OutcomeKnown(key, claim, outcome);
		alive().sorted(farFirst)
			.limit(COPIES)
			.forEach((peer) -> this.executor
				.execute(() -> this.node.call(peer.status().address(), message, CALL_TIMEOUT_MS)));
	}

	@Override
	public Option<Claim> claimOf(String key) {
		for (Peer peer : alive().toList()) {
			Option<byte[]> document = document(peer, CLAIM, key);
			if (document.isDefined()) {
				return document.map(Claim::read);
			}
		}
		return Option.none();
	}

	/**
	 * What the holder of a failure domain knows of a job.
	 */
	Option<ObjectNode> job(String domain, String jobId) {
		return holder(domain).flatMap((peer) -> document(peer, JOB, jobId))
			.flatMap((bytes) -> Json.parse(bytes).toOption())
			.map((node) -> (ObjectNode) node);
	}

	/**
	 * Tells the holder of a failure domain of a changed record, without waiting.
	 */
	void recordChanged(String domain, JsonNode record) {
		String text = new String(Json.bytes(record), StandardCharsets.UTF_8);
		holder(domain).forEach((peer) -> this.executor.execute(() -> document(peer, RECORD, text)));
	}

	/**
	 * A document of a peer, nothing if it did not answer.
	 */
	Option<byte[]> document(Peer peer, String topic, String argument) {
		Either<String, PeerMessage> answer = this.node.call(peer.status().address(),
				new PeerMessage.DocumentWanted(topic, argument), CALL_TIMEOUT_MS);
		return answer.toOption()
			.filter((message) -> message instanceof PeerMessage.Document document && document.bytes().length > 0)
			.map((message) -> ((PeerMessage.Document) message).bytes());
	}

	/**
	 * The peer that holds a failure domain.
	 */
	Option<Peer> holder(String domain) {
		return Option
			.ofOptional(alive().filter((peer) -> peer.status().holder() && peer.status().failureDomain().equals(domain))
				.max(Comparator.comparingLong((peer) -> peer.status().epoch())));
	}

	/**
	 * All peers that are remembered, reachable or not.
	 */
	List<Peer> all() {
		return this.table.all();
	}

	private Stream<Peer> alive() {
		return this.table.alive(this.ticker.millis()).stream();
	}

}
