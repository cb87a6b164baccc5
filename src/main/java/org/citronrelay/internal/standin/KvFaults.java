package org.citronrelay.internal.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;

/**
 * How the stand-in key-value service misbehaves.
 *
 * @param down whether it refuses every call
 * @param slowMs how long each call takes longer, in milliseconds
 * @param lostReplies how many of the next writes take effect without an answer
 * @param silentWatches whether watches never report a change
 */
record KvFaults(boolean down, long slowMs, int lostReplies, boolean silentWatches) {

	static final KvFaults NONE = new KvFaults(false, 0, 0, false);

	KvFaults withLostReplies(int more) {
		return new KvFaults(this.down, this.slowMs, more, this.silentWatches);
	}

	static KvFaults fromJson(JsonNode body) {
		return new KvFaults(body.path("down").asBoolean(), body.path("slowMs").asLong(),
				body.path("lostReplies").asInt(), body.path("silentWatches").asBoolean());
	}

	ObjectNode toJson() {
		return Json.object()
			.put("down", this.down)
			.put("slowMs", this.slowMs)
			.put("lostReplies", this.lostReplies)
			.put("silentWatches", this.silentWatches);
	}

}
