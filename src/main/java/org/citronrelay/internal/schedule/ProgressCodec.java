package org.citronrelay.internal.schedule;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.JobDigest;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.schedule.VmCrash.Evidence;

/**
 * Encodes the progress of a job as a JSON document for the store and decodes it. Steps of
 * which no task was ever placed are left out, and so are all steps of a job that has
 * ended and has no runs.
 */
public final class ProgressCodec {

	private static final int FORMAT = 1;

	private static final String PHASE = "phase";

	/** The digest of an ended job, to compare it with later submissions under its id. */
	private static final String DIGEST = "digest";

	private static final String ACCEPTED_AT = "acceptedAtMs";

	private ProgressCodec() {
	}

	/**
	 * Returns the phase in a stored document.
	 */
	public static JobPhase phase(byte[] document) {
		return JobPhase.valueOf(Json.parseTrusted(document).path(PHASE).asText());
	}

	/**
	 * Whether the stored document of an ended job without a record is that of the
	 * submitted job.
	 */
	public static boolean isOf(BatchJob submitted, byte[] document) {
		return ending(document).digest().equals(JobDigest.of(submitted));
	}

	static Ending ending(byte[] document) {
		JsonNode root = Json.parseTrusted(document);
		return new Ending(JobPhase.valueOf(root.path(PHASE).asText()), root.path(DIGEST).asText(),
				root.path(ACCEPTED_AT).asLong());
	}

	static byte[] encode(JobState job) {
		ObjectNode root = Json.object().put("format", FORMAT).put(PHASE, job.phase.name());
		if (job.phase.ended() && !job.occupiesCapacity()) {
			return Json.bytes(root.put(DIGEST, JobDigest.of(job.spec)).put(ACCEPTED_AT, job.spec.acceptedAtMs()));
		}
		ArrayNode steps = root.putArray("steps");
		for (StepState step : job.steps) {
			if (!step.neverPlaced()) {
				encode(steps.addObject(), step);
			}
		}
		return Json.bytes(root);
	}

	private static void encode(ObjectNode node, StepState step) {
		node.put("occurrence", step.occurrence).put("number", step.number);
		ArrayNode tasks = node.putArray("tasks");
		for (TaskState task : step.tasks) {
			ArrayNode row = tasks.addArray()
				.add(task.phase.name().charAt(0) + "")
				.add(task.run)
				.add(task.failures)
				.add(task.vm)
				.add(task.boot)
				.add(task.checkpoint);
			boolean located = task.phase.occupiesCapacity() && task.address != null;
			if (located || !task.crashes.isEmpty()) {
				row.add(located ? task.address.toString() : "");
			}
			if (!task.crashes.isEmpty()) {
				encode(row.addArray(), task.crashes);
			}
		}
	}

	private static void encode(ArrayNode rows, List<VmCrash> crashes) {
		crashes.forEach((crash) -> rows.addArray()
			.add(crash.vm())
			.add(crash.atWallMs())
			.add(crash.ageMs())
			.add(crash.evidence().name().charAt(0) + ""));
	}

	/**
	 * Restores the progress of a job from a document. Runs that were placed or running
	 * count as placed.
	 * @throws IllegalArgumentException if the document is of a later format
	 */
	static void decode(byte[] document, JobState job) {
		JsonNode root = Json.parseTrusted(document);
		if (root.path("format").asInt() > FORMAT) {
			throw new IllegalArgumentException("progress of job " + job.id() + " is stored in format "
					+ root.path("format") + ", but this version reads formats up to " + FORMAT);
		}
		job.phase = JobPhase.valueOf(root.path(PHASE).asText());
		for (JsonNode node : root.path("steps")) {
			StepState step = job.step(node.path("occurrence").asInt(), node.path("number").asInt());
			for (int index = 0; index < step.tasks.size(); index++) {
				decode(node.path("tasks").path(index), step.tasks.get(index));
			}
		}
	}

	private static void decode(JsonNode node, TaskState task) {
		task.phase = switch (node.path(0).asText()) {
			case "D" -> TaskPhase.DONE;
			case "P", "R" -> TaskPhase.PLACED;
			case "S" -> TaskPhase.STOPPING;
			case "E" -> TaskPhase.ENDED;
			default -> TaskPhase.WAITING;
		};
		task.run = node.path(1).asLong();
		task.failures = node.path(2).asInt();
		task.vm = node.path(3).asText();
		task.boot = node.path(4).asLong();
		task.checkpoint = node.path(5).asText();
		task.address = Address.parse(node.path(6).asText()).getOrNull();
		// A coordinator reads the progress again if it could not read the VMs after it.
		task.crashes.clear();
		node.path(7).forEach((row) -> task.crashes.add(decodeCrash(row)));
		task.recorded = true;
		task.inherited = task.phase.occupiesCapacity();
	}

	private static VmCrash decodeCrash(JsonNode row) {
		Evidence evidence = switch (row.path(3).asText()) {
			case "U" -> Evidence.UNCONFIRMED;
			case "E" -> Evidence.EXPLAINED;
			case "B" -> Evidence.BYSTANDER;
			case "O" -> Evidence.ONLY_SUSPECT;
			default -> Evidence.SUSPECT;
		};
		return new VmCrash(row.path(0).asText(), row.path(1).asLong(), row.path(2).asLong(), evidence);
	}

	/**
	 * What a stored document says of a job as a whole.
	 *
	 * @param phase its phase
	 * @param digest the digest of the job, empty if it has not ended
	 * @param acceptedAtMs when it was accepted, in milliseconds since 1970; 0 if it has
	 * not ended
	 */
	record Ending(JobPhase phase, String digest, long acceptedAtMs) {
	}

}
