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
 * The record of a job in the key-value service.
 *
 * @param id the id of the job
 * @param owner the team that owns the job, and its scheduling rules
 * @param spec what the caller declared
 * @param submittedAtMs when the job was accepted, in milliseconds of the wall clock
 * @param state the state of the job
 * @param attempt the number of the latest stored attempt; 0 if there is none
 * @param starts how many attempts have been assigned to members
 * @param epoch the epoch of the holder that started the job last; 0 if none has
 * @param members where the members of the current attempt are placed
 * @param savedMs the progress that is saved in checkpoints, in milliseconds of run time
 * @param answers the answers of all members in the order of their numbers, if the job is
 * done; otherwise empty
 * @param reason why the job ended without answers or is to be cancelled; otherwise empty
 */
public record JobRecord(String id, Owner owner, JobSpec spec, long submittedAtMs, StoredState state, int attempt,
		int starts, long epoch, List<Member> members, long savedMs, List<String> answers, String reason) {

	private static final String KEY_PREFIX = "/citronrelay/jobs/";

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
	 * Returns the first record of a job that was just accepted.
	 * @param submittedAtMs when it was accepted, in milliseconds of the wall clock
	 */
	public static JobRecord accepted(String id, Owner owner, JobSpec spec, long submittedAtMs) {
		return new JobRecord(id, owner, spec, submittedAtMs, StoredState.QUEUED, 0, 0, 0, List.of(), 0, List.of(), "");
	}

	/**
	 * Returns the key prefix of all job records of a failure domain.
	 */
	public static String prefix(String failureDomain) {
		return KEY_PREFIX + failureDomain + "/";
	}

	/**
	 * Returns the key of the record of a job.
	 */
	public static String key(String failureDomain, String jobId) {
		return prefix(failureDomain) + jobId;
	}

	JobRecord assigned(int newAttempt, long newEpoch, List<Member> newMembers) {
		return new JobRecord(this.id, this.owner, this.spec, this.submittedAtMs, StoredState.ASSIGNED, newAttempt,
				this.starts + 1, newEpoch, newMembers, this.savedMs, this.answers, "");
	}

	JobRecord requeued(long newSavedMs) {
		return new JobRecord(this.id, this.owner, this.spec, this.submittedAtMs, StoredState.QUEUED, this.attempt,
				this.starts, this.epoch, List.of(), newSavedMs, List.of(), "");
	}

	JobRecord done(List<String> newAnswers) {
		return new JobRecord(this.id, this.owner, this.spec, this.submittedAtMs, StoredState.DONE, this.attempt,
				this.starts, this.epoch, List.of(), this.savedMs, newAnswers, "");
	}

	/**
	 * Returns the record of a job whose cancellation the holder confirms.
	 */
	JobRecord cancelled() {
		return withState(StoredState.CANCELLED, "cancelled by the caller");
	}

	/**
	 * Whether the job may be started again after a member failed or was lost: it is
	 * idempotent and has attempts left.
	 */
	boolean mayStartAgain() {
		return this.owner.idempotent() && this.starts < this.owner.maxAttempts();
	}

	/**
	 * Returns the record in another state, without answers.
	 * @param newReason why the state changed, as text for the caller
	 */
	public JobRecord withState(StoredState newState, String newReason) {
		return new JobRecord(this.id, this.owner, this.spec, this.submittedAtMs, newState, this.attempt, this.starts,
				this.epoch, this.members, this.savedMs, List.of(), newReason);
	}

	/**
	 * Returns the record in its stored form, JSON text.
	 */
	public byte[] bytes() {
		return Json.bytes(toJson());
	}

	/**
	 * Returns the record as JSON.
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
			.put("attempts", this.owner.maxAttempts())
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
	 * Reads a record from its stored form.
	 */
	public static JobRecord read(byte[] bytes) {
		JsonNode body = Json.parseTrusted(bytes);
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
	 * The team that owns a job, and the scheduling rules of its service class and kind in
	 * the catalogue at the time the job was accepted.
	 *
	 * @param team the name of the team
	 * @param teamId the id of the team
	 * @param serviceClass the name of the service class
	 * @param priority the priority of the service class; smaller numbers are scheduled
	 * first
	 * @param urgent whether the service class is urgent
	 * @param idempotent whether the job may run again when its outcome is unknown
	 * @param reclaim whether and how the job frees its capacity for others
	 * @param maxAttempts the maximum number of times the job is started
	 */
	public record Owner(String team, String teamId, String serviceClass, int priority, boolean urgent,
			boolean idempotent, Reclaim reclaim, int maxAttempts) {
	}

	/**
	 * Where a member is placed.
	 *
	 * @param vm the id of the VM
	 * @param firstAccelerator the index of the first of its accelerators
	 */
	public record Member(String vm, int firstAccelerator) {
	}

	/**
	 * The stored states of a job.
	 */
	public enum StoredState {

		/** The job waits for capacity, or for another attempt. */
		QUEUED,
		/** The members of an attempt are starting or running. */
		ASSIGNED,
		/** The caller has cancelled the job; the holder has not confirmed that yet. */
		CANCELLING,
		/** All members have finished, and their answers are in the record. */
		DONE,
		/** A member failed, and the job may not be started again. */
		FAILED,
		/** The cancellation is confirmed; the job never starts again. */
		CANCELLED,
		/** The job has ended, and it is unknown whether it ran to completion. */
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
