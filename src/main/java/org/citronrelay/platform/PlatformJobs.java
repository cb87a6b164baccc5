package org.citronrelay.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.citronrelay.Findings;
import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.Step;
import org.citronrelay.internal.json.FindingCollector;
import org.citronrelay.internal.json.Json;

/**
 * Reads jobs as the platform's requesters write them. Fields that are left out are zero,
 * false or empty; unknown fields are passed over.
 */
final class PlatformJobs {

	private static final int LONGEST_SPEC_BYTES = 4_000;

	/** The most tasks of one step; a larger number is taken for a mistake. */
	private static final int MOST_TASKS = 10_000;

	/** The most occurrences of one job. */
	private static final int MOST_OCCURRENCES = 10_000;

	private PlatformJobs() {
	}

	static Either<Findings, BatchJob> read(byte[] body, String id, String queue, String team, long nowMs) {
		return Json.parse(body).flatMap((root) -> {
			FindingCollector collector = new FindingCollector();
			String spec = root.path("spec").asText();
			if (!root.path("spec").isTextual() || spec.getBytes(StandardCharsets.UTF_8).length > LONGEST_SPEC_BYTES) {
				collector.add("/spec", "another value", "a text of at most " + LONGEST_SPEC_BYTES + " bytes");
			}
			List<Step> steps = steps(root.path("phases"), collector);
			int times = (int) whole(root, "repetitions", "", MOST_OCCURRENCES, collector);
			BatchJob.Repeat repeat = (times > 0)
					? new BatchJob.Repeat(whole(root, "startAtMs", "", Long.MAX_VALUE, collector),
							whole(root, "intervalMs", "", Long.MAX_VALUE, collector), times)
					: BatchJob.Repeat.ONCE;
			return collector.outcome(new BatchJob(id, queue, team, spec, steps, repeat, nowMs));
		});
	}

	private static List<Step> steps(JsonNode node, FindingCollector collector) {
		if (!node.isArray() || node.isEmpty()) {
			collector.add("/phases", "another value", "an array of at least one step");
			return List.of();
		}
		List<Step> steps = new ArrayList<>();
		for (int number = 0; number < node.size(); number++) {
			steps.add(step(node.get(number), number, collector));
		}
		return steps;
	}

	private static Step step(JsonNode node, int number, FindingCollector collector) {
		String place = "/phases/" + number;
		long count = whole(node, "count", place, MOST_TASKS, collector);
		if (count < 1) {
			collector.add(place + "/count", Long.toString(count), "from 1 to " + MOST_TASKS);
		}
		List<Integer> after = new ArrayList<>();
		for (JsonNode before : node.path("after")) {
			if (!before.canConvertToInt() || before.asInt() < 0 || before.asInt() >= number) {
				collector.add(place + "/after", before.toString(), "numbers of earlier steps");
				continue;
			}
			after.add(before.asInt());
		}
		Resources each = new Resources(whole(node, "cpu", place, Integer.MAX_VALUE, collector),
				whole(node, "memMb", place, Integer.MAX_VALUE, collector),
				whole(node, "gpu", place, Integer.MAX_VALUE, collector));
		return new Step((int) Math.max(1, count), each,
				whole(node, "estRuntimeMs", place, Integer.MAX_VALUE, collector), after,
				new Step.Shape(node.path("gang").asBoolean(), node.path("sameRack").asBoolean(),
						node.path("speculative").asBoolean(), node.path("longRunning").asBoolean()),
				new Step.Limits(node.path("requires").asText(), node.path("affinity").asText(),
						(int) whole(node, "antiAffinity", place, MOST_TASKS, collector)),
				node.path("savesProgress").asBoolean());
	}

	private static long whole(JsonNode node, String field, String place, long most, FindingCollector collector) {
		JsonNode value = node.path(field);
		if (value.isMissingNode()) {
			return 0;
		}
		if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0 || value.asLong() > most) {
			collector.add(place + "/" + field, value.toString(), "a whole number from 0 to " + most);
			return 0;
		}
		return value.asLong();
	}

}
