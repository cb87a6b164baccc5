package org.citronrelay.internal.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.citronrelay.CatalogueEntry.ServiceClass;
import org.citronrelay.internal.catalogue.AppliedCatalogue;
import org.citronrelay.internal.dispatch.Dispatcher;
import org.citronrelay.internal.gang.DomainState;
import org.citronrelay.internal.holder.HolderLoop;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.peer.PeerTable.Peer;
import org.citronrelay.internal.report.ServiceLevels;
import org.citronrelay.internal.time.Ticker;

/**
 * What this process tells operators of itself and of all entry processes together.
 */
final class Reports {

	private final String process;

	private final String failureDomain;

	private final Ticker ticker;

	private final AppliedCatalogue applied;

	private final ServiceLevels levels;

	private final Dispatcher dispatcher;

	private final HolderLoop holder;

	private final PeerDesk peerDesk;

	Reports(String process, String failureDomain, Ticker ticker, AppliedCatalogue applied, ServiceLevels levels,
			Dispatcher dispatcher, HolderLoop holder, PeerDesk peerDesk) {
		this.process = process;
		this.failureDomain = failureDomain;
		this.ticker = ticker;
		this.applied = applied;
		this.levels = levels;
		this.dispatcher = dispatcher;
		this.holder = holder;
		this.peerDesk = peerDesk;
	}

	/**
	 * What the holder of this process knows of a job.
	 */
	Option<ObjectNode> liveJob(String jobId) {
		DomainState state = this.holder.state();
		return state.record(jobId).map((record) -> {
			ObjectNode body = record.toJson();
			body.put("phase", state.phaseOf(jobId).getOrElse("unknown"));
			state.placementOf(jobId).forEach(body.putArray("placement")::add);
			return body;
		});
	}

	/**
	 * Which version of the catalogue is in force at each entry process.
	 */
	ObjectNode inForce() {
		ObjectNode body = Json.object();
		long now = this.ticker.millis();
		body.withArray("entries")
			.addObject()
			.put("process", this.process)
			.put("failureDomain", this.failureDomain)
			.put("version", this.applied.current().number())
			.put("reached", true);
		for (Peer peer : this.peerDesk.all()) {
			body.withArray("entries")
				.addObject()
				.put("process", peer.status().process())
				.put("failureDomain", peer.status().failureDomain())
				.put("version", peer.status().catalogueNumber())
				.put("reached", peer.aliveAt(now));
		}
		return body;
	}

	/**
	 * The service levels of this process.
	 */
	ObjectNode ownLevels() {
		ObjectNode body = this.levels.toJson(this.ticker.millis());
		body.put("process", this.process);
		body.put("failureDomain", this.failureDomain);
		this.dispatcher.ejected().forEach(body.putArray("ejected")::add);
		if (this.holder.holds()) {
			body.set("domain", this.holder.state().summary(this.ticker.millis()));
		}
		return body;
	}

	/**
	 * The service levels of all entry processes; those not reached are named.
	 */
	ObjectNode all() {
		ObjectNode body = Json.object();
		body.withArray("entries").add(ownLevels());
		body.putArray("notReached");
		long now = this.ticker.millis();
		for (Peer peer : this.peerDesk.all()) {
			Option<JsonNode> levels = peer.aliveAt(now)
					? this.peerDesk.document(peer, PeerDesk.LEVELS, "").flatMap((bytes) -> Json.parse(bytes).toOption())
					: Option.none();
			if (levels.isDefined()) {
				body.withArray("entries").add(levels.get());
			}
			else {
				body.withArray("notReached").add(peer.status().process() + " in " + peer.status().failureDomain());
			}
		}
		for (ServiceClass serviceClass : this.applied.current().catalogue().classes()) {
			body.withArray("objectives")
				.addObject()
				.put("class", serviceClass.name())
				.put("goodShare", serviceClass.objective().goodShare())
				.put("latencyMs", serviceClass.objective().latencyMs());
		}
		return body;
	}

}
