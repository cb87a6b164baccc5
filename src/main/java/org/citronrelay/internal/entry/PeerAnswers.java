package org.citronrelay.internal.entry;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import org.citronrelay.internal.catalogue.AppliedCatalogue;
import org.citronrelay.internal.claim.Claim;
import org.citronrelay.internal.claim.ClaimDesk;
import org.citronrelay.internal.claim.OutcomeLedger;
import org.citronrelay.internal.gang.DomainEvent.RecordSeen;
import org.citronrelay.internal.gang.JobRecord;
import org.citronrelay.internal.holder.HolderLoop;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.peer.PeerMessage;
import org.citronrelay.internal.peer.PeerStatus;
import org.citronrelay.internal.time.Ticker;

/**
 * Answers what other entry processes ask.
 */
final class PeerAnswers implements UnaryOperator<PeerMessage> {

	private final String process;

	private final Ticker ticker;

	private final AppliedCatalogue applied;

	private final ClaimDesk claims;

	private final OutcomeLedger ledger;

	private final HolderLoop holder;

	private final Reports reports;

	private final Supplier<PeerStatus> status;

	private final Consumer<PeerStatus> heard;

	PeerAnswers(String process, Ticker ticker, AppliedCatalogue applied, ClaimDesk claims, OutcomeLedger ledger,
			HolderLoop holder, Reports reports, Supplier<PeerStatus> status, Consumer<PeerStatus> heard) {
		this.process = process;
		this.ticker = ticker;
		this.applied = applied;
		this.claims = claims;
		this.ledger = ledger;
		this.holder = holder;
		this.reports = reports;
		this.status = status;
		this.heard = heard;
	}

	@Override
	public PeerMessage apply(PeerMessage message) {
		return switch (message) {
			case PeerMessage.Heartbeat heartbeat -> {
				this.heard.accept(heartbeat.status());
				yield new PeerMessage.Heartbeat(this.status.get());
			}
			case PeerMessage.CatalogueWanted wanted ->
				new PeerMessage.Document((this.applied.current().number() >= wanted.number())
						? this.applied.current().bytes() : new byte[0]);
			case PeerMessage.OutcomeWanted wanted ->
				new PeerMessage.OutcomeKnown(wanted.key(), new Claim(wanted.claim(), this.process, ""),
						this.claims.answerPeer(wanted.claim(), this.ticker.millis() + wanted.waitMs()));
			case PeerMessage.OutcomeKnown known -> {
				this.ledger.close(known.key(), known.claim(), known.outcome());
				yield new PeerMessage.Nothing();
			}
			case PeerMessage.DocumentWanted wanted -> new PeerMessage.Document(document(wanted));
			case PeerMessage.Document _, PeerMessage.Nothing _ -> new PeerMessage.Nothing();
		};
	}

	private byte[] document(PeerMessage.DocumentWanted wanted) {
		return switch (wanted.topic()) {
			case PeerDesk.CLAIM -> this.ledger.latest(wanted.argument())
				.filter((line) -> !line.surelyNotRun())
				.map((line) -> line.claim().bytes())
				.getOrElse(new byte[0]);
			case PeerDesk.JOB -> this.reports.liveJob(wanted.argument()).map(Json::bytes).getOrElse(new byte[0]);
			case PeerDesk.RECORD -> {
				JsonNode body = Json.parseOwn(wanted.argument().getBytes(StandardCharsets.UTF_8));
				this.holder.tell(new RecordSeen(JobRecord.read(Json.bytes(body.path("record"))),
						body.path("revision").asLong()));
				yield new byte[0];
			}
			case PeerDesk.LEVELS -> Json.bytes(this.reports.ownLevels());
			default -> new byte[0];
		};
	}

}
