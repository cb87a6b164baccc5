package org.citronrelay.internal.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;

/**
 * The faults injected into the stand-in key-value service.
 *
 * @param down whether it drops the connection of every call
 * @param delayMs by how much each call is delayed, in milliseconds
 * @param lostReplies how many of the next writes take effect although their replies are
 * dropped
 * @param stalledWatches whether watches wait out their time and then drop the connection
 * instead of reporting changes
 */
record KvFaults(boolean down, long delayMs, int lostReplies, boolean stalledWatches) {

	static final KvFaults NONE = new KvFaults(false, 0, 0, false);

	KvFaults withLostReplies(int count) {
		return new KvFaults(this.down, this.delayMs, count, this.stalledWatches);
	}

	static KvFaults fromJson(JsonNode body) {
		return new KvFaults(body.path("down").asBoolean(), body.path("slowMs").asLong(),
				body.path("lostReplies").asInt(), body.path("silentWatches").asBoolean());
	}

	ObjectNode toJson() {
		return Json.object()
			.put("down", this.down)
			.put("slowMs", this.delayMs)
			.put("lostReplies", this.lostReplies)
			.put("silentWatches", this.stalledWatches);
	}

}
