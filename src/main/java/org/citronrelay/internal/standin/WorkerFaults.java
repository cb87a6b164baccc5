package org.citronrelay.internal.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;

/**
 * The faults injected into a stand-in worker.
 *
 * @param failsAll whether every request and task fails immediately
 * @param delayMs by how much each call is delayed, in milliseconds
 * @param unresponsive whether calls are accepted but never answered
 * @param truncatesAnswers whether the answers to requests are cut off
 * @param draining whether new requests and tasks are refused because the VM is shutting
 * down
 */
record WorkerFaults(boolean failsAll, long delayMs, boolean unresponsive, boolean truncatesAnswers, boolean draining) {

	static final WorkerFaults NONE = new WorkerFaults(false, 0, false, false, false);

	static WorkerFaults fromJson(JsonNode body) {
		return new WorkerFaults(body.path("failsAll").asBoolean(), body.path("slowMs").asLong(),
				body.path("silent").asBoolean(), body.path("truncates").asBoolean(), body.path("leaving").asBoolean());
	}

	ObjectNode toJson() {
		return Json.object()
			.put("failsAll", this.failsAll)
			.put("slowMs", this.delayMs)
			.put("silent", this.unresponsive)
			.put("truncates", this.truncatesAnswers)
			.put("leaving", this.draining);
	}

}
