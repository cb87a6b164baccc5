package org.citronrelay.internal.entry;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import org.citronrelay.internal.catalogue.AppliedCatalogue;
import org.citronrelay.internal.claim.AtMostOnceExecutor;
import org.citronrelay.internal.claim.Claim;
import org.citronrelay.internal.claim.OutcomeLedger;
import org.citronrelay.internal.gang.DomainEvent.RecordSeen;
import org.citronrelay.internal.gang.JobRecord;
import org.citronrelay.internal.holder.HolderLoop;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.peer.PeerMessage;
import org.citronrelay.internal.peer.PeerStatus;
import org.citronrelay.internal.time.Ticker;

/**
 * Answers the calls of other entry processes.
 */
final class PeerRequestHandler implements UnaryOperator<PeerMessage> {

	private final String process;

	private final Ticker ticker;

	private final AppliedCatalogue applied;

	private final AtMostOnceExecutor atMostOnceExecutor;

	private final OutcomeLedger ledger;

	private final HolderLoop holder;

	private final Reports reports;

	private final Supplier<PeerStatus> ownStatus;

	private final Consumer<PeerStatus> statusListener;

	PeerRequestHandler(String process, Ticker ticker, AppliedCatalogue applied, AtMostOnceExecutor atMostOnceExecutor,
			OutcomeLedger ledger, HolderLoop holder, Reports reports, Supplier<PeerStatus> ownStatus,
			Consumer<PeerStatus> statusListener) {
		this.process = process;
		this.ticker = ticker;
		this.applied = applied;
		this.atMostOnceExecutor = atMostOnceExecutor;
		this.ledger = ledger;
		this.holder = holder;
		this.reports = reports;
		this.ownStatus = ownStatus;
		this.statusListener = statusListener;
	}

	@Override
	public PeerMessage apply(PeerMessage message) {
		return switch (message) {
			case PeerMessage.Heartbeat heartbeat -> {
				this.statusListener.accept(heartbeat.status());
				yield new PeerMessage.Heartbeat(this.ownStatus.get());
			}
			case PeerMessage.CatalogueRequest request ->
				new PeerMessage.Document((this.applied.current().number() >= request.minNumber())
						? this.applied.current().bytes() : new byte[0]);
			case PeerMessage.OutcomeRequest request ->
				new PeerMessage.OutcomeReport(request.key(), new Claim(request.claimId(), this.process, ""),
						this.atMostOnceExecutor.answerPeer(request.claimId(), this.ticker.millis() + request.waitMs()));
			case PeerMessage.OutcomeReport report -> {
				this.ledger.complete(report.key(), report.claim(), report.outcome());
				yield new PeerMessage.NoContent();
			}
			case PeerMessage.DocumentRequest request -> new PeerMessage.Document(document(request));
			case PeerMessage.Document _, PeerMessage.NoContent _ -> new PeerMessage.NoContent();
		};
	}

	/**
	 * Returns the document of the request's topic, empty if there is none. For a changed
	 * job record, passes the record to the scheduler instead.
	 */
	private byte[] document(PeerMessage.DocumentRequest request) {
		return switch (request.topic()) {
			case PeerClient.TOPIC_CLAIM -> this.ledger.latest(request.argument())
				.filter((entry) -> !entry.confirmedNotRun())
				.map((entry) -> entry.claim().bytes())
				.getOrElse(new byte[0]);
			case PeerClient.TOPIC_JOB ->
				this.reports.liveJob(request.argument()).map(Json::bytes).getOrElse(new byte[0]);
			case PeerClient.TOPIC_RECORD -> {
				JsonNode body = Json.parseTrusted(request.argument().getBytes(StandardCharsets.UTF_8));
				this.holder.submit(new RecordSeen(JobRecord.read(Json.bytes(body.path("record"))),
						body.path("revision").asLong()));
				yield new byte[0];
			}
			case PeerClient.TOPIC_LEVELS -> Json.bytes(this.reports.ownLevels());
			default -> new byte[0];
		};
	}

}
