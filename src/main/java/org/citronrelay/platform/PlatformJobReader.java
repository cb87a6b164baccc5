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
 * Reads batch jobs from the JSON documents of the platform's requesters. Missing fields
 * default to zero, false or empty; unknown fields are ignored.
 */
final class PlatformJobReader {

	private static final int MAX_SPEC_BYTES = 4_000;

	/** Maximum number of tasks of a step; a larger number is refused as a mistake. */
	private static final int MAX_TASKS_PER_STEP = 10_000;

	/** Maximum number of occurrences of a repeated job. */
	private static final int MAX_OCCURRENCES = 10_000;

	/**
	 * The coordinator keeps each task of each occurrence in memory; without a limit one
	 * short call could exhaust it, and that of each successor.
	 */
	private static final long MAX_TASKS_PER_JOB = 20_000;

	private PlatformJobReader() {
	}

	/**
	 * Reads a job.
	 * @param id the id of the job, from the path of the call
	 * @param nowMs the time of submission in wall clock milliseconds
	 * @return the job, or all findings
	 */
	static Either<Findings, BatchJob> read(byte[] body, String id, String queue, String team, long nowMs) {
		return Json.parse(body).flatMap((root) -> {
			FindingCollector collector = new FindingCollector();
			String spec = root.path("spec").asText();
			if (!root.path("spec").isTextual() || spec.getBytes(StandardCharsets.UTF_8).length > MAX_SPEC_BYTES) {
				collector.add("/spec", "not a text, or too long", "a text of at most " + MAX_SPEC_BYTES + " bytes");
			}
			List<Step> steps = steps(root.path("phases"), collector);
			int repetitions = (int) wholeNumber(root, "repetitions", "", MAX_OCCURRENCES, collector);
			BatchJob.Repeat repeat = (repetitions > 0)
					? new BatchJob.Repeat(wholeNumber(root, "startAtMs", "", Long.MAX_VALUE, collector),
							wholeNumber(root, "intervalMs", "", Long.MAX_VALUE, collector), repetitions)
					: BatchJob.Repeat.ONCE;
			long tasks = steps.stream().mapToLong(Step::count).sum() * repeat.occurrences();
			if (tasks > MAX_TASKS_PER_JOB) {
				collector.add("/phases", tasks + " tasks in all occurrences", "at most " + MAX_TASKS_PER_JOB);
			}
			return collector.toEither(new BatchJob(id, queue, team, spec, steps, repeat, nowMs));
		});
	}

	private static List<Step> steps(JsonNode node, FindingCollector collector) {
		if (!node.isArray() || node.isEmpty()) {
			collector.add("/phases", "not an array, or empty", "an array of at least one step");
			return List.of();
		}
		List<Step> steps = new ArrayList<>();
		for (int number = 0; number < node.size(); number++) {
			steps.add(step(node.get(number), number, collector));
		}
		return steps;
	}

	private static Step step(JsonNode node, int number, FindingCollector collector) {
		String pointer = "/phases/" + number;
		long count = wholeNumber(node, "count", pointer, MAX_TASKS_PER_STEP, collector);
		if (count < 1) {
			collector.add(pointer + "/count", Long.toString(count), "from 1 to " + MAX_TASKS_PER_STEP);
		}
		List<Integer> after = new ArrayList<>();
		for (JsonNode earlier : node.path("after")) {
			if (!earlier.canConvertToInt() || earlier.asInt() < 0 || earlier.asInt() >= number) {
				collector.add(pointer + "/after", earlier.toString(), "numbers of earlier steps");
				continue;
			}
			after.add(earlier.asInt());
		}
		Resources taskResources = new Resources(wholeNumber(node, "cpu", pointer, Integer.MAX_VALUE, collector),
				wholeNumber(node, "memMb", pointer, Integer.MAX_VALUE, collector),
				wholeNumber(node, "gpu", pointer, Integer.MAX_VALUE, collector));
		return new Step((int) Math.max(1, count), taskResources,
				wholeNumber(node, "estRuntimeMs", pointer, Integer.MAX_VALUE, collector), after,
				new Step.Shape(node.path("gang").asBoolean(), node.path("sameRack").asBoolean(),
						node.path("speculative").asBoolean(), node.path("longRunning").asBoolean()),
				new Step.Limits(node.path("requires").asText(), node.path("affinity").asText(),
						(int) wholeNumber(node, "antiAffinity", pointer, MAX_TASKS_PER_STEP, collector)),
				node.path("savesProgress").asBoolean());
	}

	/**
	 * Reads a number field and adds a finding unless it is a whole number from 0 to the
	 * maximum.
	 * @return the number, or 0 if the field is missing or has a finding
	 */
	private static long wholeNumber(JsonNode node, String field, String pointer, long max, FindingCollector collector) {
		JsonNode value = node.path(field);
		if (value.isMissingNode()) {
			return 0;
		}
		if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0 || value.asLong() > max) {
			collector.add(pointer + "/" + field, value.toString(), "a whole number from 0 to " + max);
			return 0;
		}
		return value.asLong();
	}

}
