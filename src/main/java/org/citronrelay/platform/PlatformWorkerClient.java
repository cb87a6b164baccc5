package org.citronrelay.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.batch.VmRegistration;
import org.citronrelay.internal.cluster.NoAnswer;
import org.citronrelay.internal.cluster.WorkerClient;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.StartAnswer;
import org.citronrelay.internal.schedule.VmAbsence;
import org.citronrelay.internal.schedule.VmAnswer;

/**
 * Client of the task interface of the platform's workers over HTTP and JSON.
 */
final class PlatformWorkerClient implements WorkerClient {

	/**
	 * Time that a command may take on top of the time the worker waits for a run to end.
	 */
	private static final long TIMEOUT_MS = 800;

	private static final int ALL_PERCENT = 100;

	/** The number of ends in one answer from which on the worker may have more. */
	private static final int ENDS_PER_ANSWER = 500;

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int CONFLICT = 409;

	/** Another instance than the expected one answered at the address. */
	private static final int MISDIRECTED_REQUEST = 421;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private final HttpClient client;

	PlatformWorkerClient(HttpClient client) {
		this.client = client;
	}

	@Override
	public StartAnswer start(Effect.Start command, long token) {
		ObjectNode body = runBody(command.task(), command.run(), token).put("spec", command.payload())
			.put("deadlineMs", command.leaseUntil());
		if (!command.checkpoint().isEmpty()) {
			body.put("lastCheckpoint", command.checkpoint());
		}
		return switch (exchange(command.vm(), "/citronrelay/run-start", body, TIMEOUT_MS)) {
			case Exchange.Answered answered -> startAnswer(answered.reply());
			case Exchange.NotSent _ -> StartAnswer.UNKNOWN;
			case Exchange.Broken _ -> StartAnswer.UNKNOWN;
		};
	}

	@Override
	public boolean stop(Effect.Stop command, long token) {
		Exchange exchange = exchange(command.vm(), "/citronrelay/run-stop",
				runBody(command.task(), command.run(), token), TIMEOUT_MS);
		return exchange instanceof Exchange.Answered answered && answered.reply().status() == OK;
	}

	@Override
	public Either<NoAnswer, VmAnswer> renew(Effect.Renew command, long token) {
		ObjectNode body = Json.object().put("fencingToken", token).put("lastSeen", command.acknowledge());
		if (command.leaseUntil() > 0) {
			body.put("deadlineMs", command.leaseUntil());
		}
		if (command.waitMs() > 0) {
			body.put("waitMs", command.waitMs());
		}
		return switch (exchange(command.vm(), "/citronrelay/hold", body, command.waitMs() + TIMEOUT_MS)) {
			case Exchange.Answered answered when answered.reply().status() == OK -> vmAnswer(answered.reply());
			case Exchange.Answered answered -> Either.left(new NoAnswer("status " + answered.reply().status(),
					(answered.reply().status() == MISDIRECTED_REQUEST) ? VmAbsence.REPLACED : VmAbsence.UNKNOWN));
			case Exchange.NotSent notSent -> Either.left(new NoAnswer(notSent.reason(), VmAbsence.UNKNOWN));
			case Exchange.Broken broken -> Either.left(new NoAnswer(broken.reason(), VmAbsence.UNKNOWN));
		};
	}

	private Exchange exchange(VmRegistration vm, String path, ObjectNode body, long timeoutMs) {
		HttpCall call = HttpCall.of("POST", path)
			.header("Content-Type", "application/json")
			.header("X-Expect-Instance", vm.id())
			.body(Json.bytes(body));
		return this.client.exchange(vm.address(), call, timeoutMs, false);
	}

	private static ObjectNode runBody(TaskId task, long run, long token) {
		return Json.object().put("task", taskName(task)).put("runId", run).put("fencingToken", token);
	}

	private static StartAnswer startAnswer(HttpReply reply) {
		return switch (reply.status()) {
			case OK -> StartAnswer.STARTED;
			case BAD_REQUEST -> StartAnswer.REJECTED;
			case CONFLICT -> switch (reply.json().path("reason").asText()) {
				case "fence" -> StartAnswer.FENCED;
				case "old" -> StartAnswer.OUTDATED;
				case "late" -> StartAnswer.LATE;
				case "room" -> StartAnswer.NO_ROOM;
				default -> StartAnswer.REJECTED;
			};
			case TOO_MANY_REQUESTS, UNAVAILABLE -> StartAnswer.UNHEALTHY;
			default -> StartAnswer.UNKNOWN;
		};
	}

	/**
	 * Reads the answer to a renewal. Rows that name no run are left out.
	 */
	static Either<NoAnswer, VmAnswer> vmAnswer(HttpReply reply) {
		JsonNode root = reply.json();
		if (!WorkerEntryCheck.whole(root.path("born")) || !WorkerEntryCheck.whole(root.path("clockMs"))) {
			return Either.left(new NoAnswer("the answer lacks a possible born or clockMs", VmAbsence.UNKNOWN));
		}
		List<VmAnswer.Running> running = new ArrayList<>();
		for (JsonNode row : root.path("running")) {
			taskId(row.path(0).asText()).forEach((task) -> running.add(new VmAnswer.Running(task, row.path(1).asLong(),
					row.path(2).asText(), Math.clamp(row.path(3).asInt(), 0, ALL_PERCENT))));
		}
		List<VmAnswer.Ended> ended = new ArrayList<>();
		for (JsonNode row : root.path("finished")) {
			taskId(row.path(1).asText()).forEach((task) -> ended.add(new VmAnswer.Ended(row.path(0).asLong(), task,
					row.path(2).asLong(), endReason(row.path(3).asText()), row.path(4).asText())));
		}
		boolean moreEnds = root.path("finished").size() >= ENDS_PER_ANSWER;
		return Either
			.right(new VmAnswer(root.path("born").asLong(), root.path("clockMs").asLong(), running, ended, moreEnds));
	}

	/**
	 * Parses the reason why a run ended. Unknown reasons count as a stop, which says
	 * nothing about whether the task succeeds.
	 */
	private static VmAnswer.EndReason endReason(String reason) {
		return switch (reason) {
			case "done" -> VmAnswer.EndReason.DONE;
			case "failed" -> VmAnswer.EndReason.FAILED;
			case "lapsed" -> VmAnswer.EndReason.LAPSED;
			case "broken" -> VmAnswer.EndReason.BROKEN;
			case "alone" -> VmAnswer.EndReason.ALONE;
			default -> VmAnswer.EndReason.STOPPED;
		};
	}

	static String taskName(TaskId task) {
		return String.format(Locale.ROOT, "%s.%d.%d.%d", task.job(), task.occurrence(), task.step(), task.index());
	}

	private static List<TaskId> taskId(String name) {
		String[] parts = name.split("\\.");
		try {
			return (parts.length == 4) ? List.of(new TaskId(parts[0], Integer.parseInt(parts[1]),
					Integer.parseInt(parts[2]), Integer.parseInt(parts[3]))) : List.of();
		}
		catch (IllegalArgumentException ex) {
			return List.of();
		}
	}

}
