package org.citronrelay.internal.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;

/**
 * How a stand-in worker misbehaves.
 *
 * @param failsAll whether every request and task fails at once
 * @param slowMs how long each call takes longer, in milliseconds
 * @param silent whether calls are never answered
 * @param truncates whether answers of requests are cut
 * @param leaving whether new work is refused
 */
record WorkerFaults(boolean failsAll, long slowMs, boolean silent, boolean truncates, boolean leaving) {

	static final WorkerFaults NONE = new WorkerFaults(false, 0, false, false, false);

	static WorkerFaults fromJson(JsonNode body) {
		return new WorkerFaults(body.path("failsAll").asBoolean(), body.path("slowMs").asLong(),
				body.path("silent").asBoolean(), body.path("truncates").asBoolean(), body.path("leaving").asBoolean());
	}

	ObjectNode toJson() {
		return Json.object()
			.put("failsAll", this.failsAll)
			.put("slowMs", this.slowMs)
			.put("silent", this.silent)
			.put("truncates", this.truncates)
			.put("leaving", this.leaving);
	}

}
