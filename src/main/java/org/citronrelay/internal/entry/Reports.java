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
import org.citronrelay.internal.report.ServiceLevelCounters;
import org.citronrelay.internal.time.Ticker;

/**
 * Builds the JSON reports for operators, about this process and about all entry
 * processes.
 */
final class Reports {

	private final String process;

	private final String failureDomain;

	private final Ticker ticker;

	private final AppliedCatalogue applied;

	private final ServiceLevelCounters serviceLevels;

	private final Dispatcher dispatcher;

	private final HolderLoop holder;

	private final PeerClient peerClient;

	Reports(String process, String failureDomain, Ticker ticker, AppliedCatalogue applied,
			ServiceLevelCounters serviceLevels, Dispatcher dispatcher, HolderLoop holder, PeerClient peerClient) {
		this.process = process;
		this.failureDomain = failureDomain;
		this.ticker = ticker;
		this.applied = applied;
		this.serviceLevels = serviceLevels;
		this.dispatcher = dispatcher;
		this.holder = holder;
		this.peerClient = peerClient;
	}

	/**
	 * Returns a job with its phase and placement; nothing if this process does not hold
	 * the job's failure domain or does not know the job.
	 */
	Option<ObjectNode> liveJob(String jobId) {
		DomainState state = this.holder.domainState();
		return state.record(jobId).map((record) -> {
			ObjectNode body = record.toJson();
			body.put("phase", state.phaseOf(jobId).getOrElse("unknown"));
			state.placementOf(jobId).forEach(body.putArray("placement")::add);
			return body;
		});
	}

	/**
	 * Returns which version of the catalogue is in force at each entry process.
	 */
	ObjectNode catalogueInForce() {
		ObjectNode body = Json.object();
		long now = this.ticker.millis();
		body.withArray("entries")
			.addObject()
			.put("process", this.process)
			.put("failureDomain", this.failureDomain)
			.put("version", this.applied.current().number())
			.put("reached", true);
		for (Peer peer : this.peerClient.knownPeers()) {
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
	 * Returns the service levels of this process, and the state of the failure domain if
	 * this process holds it.
	 */
	ObjectNode ownLevels() {
		ObjectNode body = this.serviceLevels.toJson(this.ticker.millis());
		body.put("process", this.process);
		body.put("failureDomain", this.failureDomain);
		this.dispatcher.ejectedVms().forEach(body.putArray("ejected")::add);
		if (this.holder.holds()) {
			body.set("domain", this.holder.domainState().summary(this.ticker.millis()));
		}
		return body;
	}

	/**
	 * Returns the service levels of all entry processes and the objectives of all
	 * classes. Processes that did not answer are listed under {@code notReached}.
	 */
	ObjectNode allLevels() {
		ObjectNode body = Json.object();
		body.withArray("entries").add(ownLevels());
		body.putArray("notReached");
		long now = this.ticker.millis();
		for (Peer peer : this.peerClient.knownPeers()) {
			Option<JsonNode> levels = peer.aliveAt(now) ? this.peerClient.document(peer, PeerClient.TOPIC_LEVELS, "")
				.flatMap((bytes) -> Json.parse(bytes).toOption()) : Option.none();
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
