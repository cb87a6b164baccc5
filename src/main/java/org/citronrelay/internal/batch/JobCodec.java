package org.citronrelay.internal.batch;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;

/**
 * Encodes accepted jobs as JSON documents for the store and decodes them.
 */
public final class JobCodec {

	/** The version of the format; documents of a later version are rejected. */
	private static final int FORMAT = 1;

	private JobCodec() {
	}

	/**
	 * Encodes a job; its id is the key and not part of the document.
	 */
	public static byte[] encode(BatchJob job) {
		ObjectNode root = Json.object()
			.put("format", FORMAT)
			.put("queue", job.queue())
			.put("team", job.team())
			.put("payload", job.payload())
			.put("acceptedAtMs", job.acceptedAtMs());
		if (job.repeat().times() > 0) {
			root.putObject("repeat")
				.put("firstAtMs", job.repeat().firstAtMs())
				.put("everyMs", job.repeat().everyMs())
				.put("times", job.repeat().times());
		}
		ArrayNode steps = root.putArray("steps");
		job.steps().forEach((step) -> steps.add(encode(step)));
		return Json.bytes(root);
	}

	/**
	 * Decodes a document that {@link #encode} wrote.
	 * @throws IllegalArgumentException if the document is of a later format
	 */
	public static BatchJob decode(String id, byte[] document) {
		JsonNode root = Json.parseTrusted(document);
		if (root.path("format").asInt() > FORMAT) {
			throw new IllegalArgumentException("job " + id + " is stored in format " + root.path("format")
					+ ", but this version reads formats up to " + FORMAT);
		}
		List<Step> steps = new ArrayList<>();
		root.path("steps").forEach((step) -> steps.add(decodeStep(step)));
		JsonNode repeat = root.path("repeat");
		return new BatchJob(id, root.path("queue").asText(), root.path("team").asText(), root.path("payload").asText(),
				steps,
				repeat.isMissingNode() ? BatchJob.Repeat.ONCE : new BatchJob.Repeat(repeat.path("firstAtMs").asLong(),
						repeat.path("everyMs").asLong(), repeat.path("times").asInt()),
				root.path("acceptedAtMs").asLong());
	}

	private static ObjectNode encode(Step step) {
		ObjectNode node = Json.object()
			.put("count", step.count())
			.put("cpuMillis", step.taskResources().cpuMillis())
			.put("memoryMb", step.taskResources().memoryMb())
			.put("accelerators", step.taskResources().accelerators())
			.put("estimateMs", step.estimateMs())
			.put("gang", step.gang())
			.put("sameRack", step.shape().sameRack())
			.put("speculative", step.shape().speculative())
			.put("lasting", step.shape().longRunning())
			.put("label", step.limits().label())
			.put("dataRack", step.limits().dataRack())
			.put("mostPerVm", step.limits().maxPerVm())
			.put("checkpoints", step.checkpoints());
		ArrayNode after = node.putArray("after");
		step.after().forEach(after::add);
		return node;
	}

	private static Step decodeStep(JsonNode node) {
		List<Integer> after = new ArrayList<>();
		node.path("after").forEach((number) -> after.add(number.asInt()));
		return new Step(
				node.path("count").asInt(), new Resources(node.path("cpuMillis").asLong(),
						node.path("memoryMb").asLong(), node.path("accelerators").asLong()),
				node.path("estimateMs").asLong(), after,
				new Step.Shape(node.path("gang").asBoolean(), node.path("sameRack").asBoolean(),
						node.path("speculative").asBoolean(), node.path("lasting").asBoolean()),
				new Step.Limits(node.path("label").asText(), node.path("dataRack").asText(),
						node.path("mostPerVm").asInt()),
				node.path("checkpoints").asBoolean());
	}

}
