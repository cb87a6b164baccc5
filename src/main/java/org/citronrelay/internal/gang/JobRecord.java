package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.JobSpec;
import org.citronrelay.Reclaim;
import org.citronrelay.internal.catalogue.ShapeJson;
import org.citronrelay.internal.json.FindingCollector;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.json.JsonCursor;

/**
 * What is stored of a job in the key-value service.
 *
 * @param id the id of the job
 * @param owner whose it is and how it is treated
 * @param spec what its caller declared
 * @param submittedAtMs when it was accepted, in milliseconds of the wall clock
 * @param state its state
 * @param attempt the number of its latest attempt
 * @param starts how often it was started
 * @param epoch the epoch of the holder that started it last
 * @param members where the members of the current attempt are
 * @param savedMs the progress that was saved, in milliseconds
 * @param answers the answers of all members once it is done
 * @param reason why it ended otherwise
 */
public record JobRecord(String id, Owner owner, JobSpec spec, long submittedAtMs, StoredState state, int attempt,
		int starts, long epoch, List<Member> members, long savedMs, List<String> answers, String reason) {

	private static final String PREFIX = "/citronrelay/jobs/";

	public JobRecord {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(owner, "owner");
		Objects.requireNonNull(spec, "spec");
		Objects.requireNonNull(state, "state");
		members = List.copyOf(members);
		answers = List.copyOf(answers);
		Objects.requireNonNull(reason, "reason");
	}

	/**
	 * A job that was just accepted.
	 */
	public static JobRecord accepted(String id, Owner owner, JobSpec spec, long submittedAtMs) {
		return new JobRecord(id, owner, spec, submittedAtMs, StoredState.QUEUED, 0, 0, 0, List.of(), 0, List.of(), "");
	}

	/**
	 * The prefix of all records of a failure domain.
	 */
	public static String prefix(String failureDomain) {
		return PREFIX + failureDomain + "/";
	}

	/**
	 * Where a job's record is stored.
	 */
	public static String key(String failureDomain, String jobId) {
		return prefix(failureDomain) + jobId;
	}

	JobRecord assigned(int newAttempt, long newEpoch, List<Member> newMembers) {
		return new JobRecord(this.id, this.owner, this.spec, this.submittedAtMs, StoredState.ASSIGNED, newAttempt,
				this.starts + 1, newEpoch, newMembers, this.savedMs, this.answers, "");
	}

	JobRecord queuedAgain(long newSavedMs) {
		return new JobRecord(this.id, this.owner, this.spec, this.submittedAtMs, StoredState.QUEUED, this.attempt,
				this.starts, this.epoch, List.of(), newSavedMs, List.of(), "");
	}

	JobRecord done(List<String> newAnswers) {
		return new JobRecord(this.id, this.owner, this.spec, this.submittedAtMs, StoredState.DONE, this.attempt,
				this.starts, this.epoch, List.of(), this.savedMs, newAnswers, "");
	}

	/**
	 * The record of a job whose cancellation its holder confirms.
	 */
	JobRecord cancelled() {
		return ended(StoredState.CANCELLED, "cancelled by the caller");
	}

	/**
	 * Whether the job may be started once more after it is not known how it ended.
	 */
	boolean mayStartAgain() {
		return this.owner.idempotent() && this.starts < this.owner.attempts();
	}

	/**
	 * The record in another state without an answer.
	 */
	public JobRecord ended(StoredState newState, String newReason) {
		return new JobRecord(this.id, this.owner, this.spec, this.submittedAtMs, newState, this.attempt, this.starts,
				this.epoch, this.members, this.savedMs, List.of(), newReason);
	}

	/**
	 * The record as it is stored.
	 */
	public byte[] bytes() {
		return Json.bytes(toJson());
	}

	/**
	 * The record as JSON.
	 */
	public ObjectNode toJson() {
		ObjectNode body = Json.object()
			.put("id", this.id)
			.put("team", this.owner.team())
			.put("teamId", this.owner.teamId())
			.put("class", this.owner.serviceClass())
			.put("priority", this.owner.priority())
			.put("urgent", this.owner.urgent())
			.put("idempotent", this.owner.idempotent())
			.put("reclaim", this.owner.reclaim().name())
			.put("attempts", this.owner.attempts())
			.put("kind", this.spec.kind())
			.put("runMs", this.spec.runMs())
			.put("payload", this.spec.payload())
			.put("submittedAtMs", this.submittedAtMs)
			.put("state", this.state.name())
			.put("attempt", this.attempt)
			.put("starts", this.starts)
			.put("epoch", this.epoch)
			.put("savedMs", this.savedMs)
			.put("reason", this.reason);
		body.set("shape", ShapeJson.write(this.spec.shape()));
		this.answers.forEach(body.putArray("answers")::add);
		body.putArray("members");
		this.members.forEach((member) -> body.withArray("members")
			.addObject()
			.put("vm", member.vm())
			.put("first", member.firstAccelerator()));
		return body;
	}

	/**
	 * Reads a stored record.
	 */
	public static JobRecord read(byte[] bytes) {
		JsonNode body = Json.parseOwn(bytes);
		Owner owner = new Owner(body.path("team").asText(), body.path("teamId").asText(), body.path("class").asText(),
				body.path("priority").asInt(), body.path("urgent").asBoolean(), body.path("idempotent").asBoolean(),
				Reclaim.valueOf(body.path("reclaim").asText()), body.path("attempts").asInt());
		JsonCursor shape = JsonCursor.root(body, new FindingCollector()).object("shape");
		JobSpec spec = new JobSpec(body.path("kind").asText(), ShapeJson.read(shape), body.path("runMs").asLong(),
				body.path("payload").asText());
		List<Member> members = new ArrayList<>();
		body.path("members")
			.forEach((member) -> members.add(new Member(member.path("vm").asText(), member.path("first").asInt())));
		List<String> answers = new ArrayList<>();
		body.path("answers").forEach((answer) -> answers.add(answer.asText()));
		return new JobRecord(body.path("id").asText(), owner, spec, body.path("submittedAtMs").asLong(),
				StoredState.valueOf(body.path("state").asText()), body.path("attempt").asInt(),
				body.path("starts").asInt(), body.path("epoch").asLong(), members, body.path("savedMs").asLong(),
				answers, body.path("reason").asText());
	}

	/**
	 * Whose a job is and how it is treated, as the catalogue said when it was accepted.
	 *
	 * @param team the name of the team
	 * @param teamId the id of the team
	 * @param serviceClass the name of the class
	 * @param priority the rank of the class
	 * @param urgent whether the class is urgent
	 * @param idempotent whether it may run again when it is not known how it ended
	 * @param reclaim how it gives room back
	 * @param attempts how often it is started at the most
	 */
	public record Owner(String team, String teamId, String serviceClass, int priority, boolean urgent,
			boolean idempotent, Reclaim reclaim, int attempts) {
	}

	/**
	 * Where a member is.
	 *
	 * @param vm the id of the VM
	 * @param firstAccelerator the first of its accelerators
	 */
	public record Member(String vm, int firstAccelerator) {
	}

	/**
	 * The states of a record.
	 */
	public enum StoredState {

		/** Waits. */
		QUEUED,
		/** Starts or runs on its members. */
		ASSIGNED,
		/** Its caller wants it cancelled; its holder has not confirmed that yet. */
		CANCELLING,
		/** Ended with the answers of all members. */
		DONE,
		/** Ended without. */
		FAILED,
		/** Ended by its caller; it does not start any more. */
		CANCELLED,
		/** Ended, and nobody can tell whether it ran to its end. */
		UNKNOWN;

		/**
		 * Whether the job has ended.
		 */
		public boolean terminal() {
			return switch (this) {
				case QUEUED, ASSIGNED, CANCELLING -> false;
				case DONE, FAILED, CANCELLED, UNKNOWN -> true;
			};
		}

	}

}
