package org.citronrelay.internal.platform;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;

/**
 * Client of the task interface of workers over HTTP and JSON.
 */
public final class HttpWorkerTasks implements WorkerTasks {

	private static final int STATUS_REFUSED = 409;

	private static final int STATUS_STALE_EPOCH = 412;

	private final HttpClient client;

	private final long timeoutMs;

	public HttpWorkerTasks(HttpClient client, long timeoutMs) {
		this.client = client;
		this.timeoutMs = timeoutMs;
	}

	@Override
	public Either<WorkerFailure, List<TaskReport>> fence(Address worker, long epoch) {
		return send(worker, "/tasks/fence", Json.object().put("epoch", epoch)).map(HttpWorkerTasks::reports);
	}

	@Override
	public Either<WorkerFailure, TaskReport> reserve(Address worker, long epoch, Reservation reservation) {
		ObjectNode body = Json.object()
			.put("epoch", epoch)
			.put("task", reservation.task())
			.put("firstAccelerator", reservation.firstAccelerator())
			.put("accelerators", reservation.accelerators())
			.put("cores", reservation.cores())
			.put("memoryGb", reservation.memoryGb())
			.put("workMs", reservation.workMs())
			.put("doneMs", reservation.doneMs())
			.put("leaseMs", reservation.leaseMs())
			.put("payload", reservation.payload());
		return send(worker, "/tasks/reserve", body).map(HttpWorkerTasks::report);
	}

	@Override
	public Either<WorkerFailure, TaskReport> start(Address worker, long epoch, String task) {
		return send(worker, "/tasks/start", Json.object().put("epoch", epoch).put("task", task))
			.map(HttpWorkerTasks::report);
	}

	@Override
	public Either<WorkerFailure, List<TaskReport>> renew(Address worker, long epoch, List<String> tasks, long leaseMs) {
		ObjectNode body = Json.object().put("epoch", epoch).put("leaseMs", leaseMs);
		tasks.forEach(body.withArray("tasks")::add);
		return send(worker, "/tasks/renew", body).map(HttpWorkerTasks::reports);
	}

	@Override
	public Either<WorkerFailure, TaskReport> end(Address worker, long epoch, String task, EndMode mode) {
		ObjectNode body = Json.object().put("epoch", epoch).put("task", task).put("mode", mode.name());
		return send(worker, "/tasks/end", body).map(HttpWorkerTasks::report);
	}

	private Either<WorkerFailure, JsonNode> send(Address worker, String path, ObjectNode body) {
		HttpCall call = HttpCall.of("POST", path).body(Json.bytes(body));
		return switch (this.client.exchange(worker, call, this.timeoutMs, false)) {
			case Exchange.Answered answered -> result(answered.reply());
			case Exchange.NotSent notSent -> Either.left(new WorkerFailure.Unreachable(notSent.reason(), false));
			case Exchange.Broken broken -> Either.left(new WorkerFailure.Unreachable(broken.reason(), true));
		};
	}

	private static Either<WorkerFailure, JsonNode> result(HttpReply reply) {
		return switch (reply.status()) {
			case 200 -> Either.right(reply.json());
			case STATUS_REFUSED -> Either.left(new WorkerFailure.Refused(reply.json().path("reason").asText()));
			case STATUS_STALE_EPOCH -> Either.left(new WorkerFailure.StaleEpoch(reply.json().path("newest").asLong()));
			default -> Either.left(new WorkerFailure.Unreachable("status " + reply.status(), true));
		};
	}

	private static List<TaskReport> reports(JsonNode body) {
		List<TaskReport> reports = new ArrayList<>();
		body.path("tasks").forEach((task) -> reports.add(report(task)));
		return reports;
	}

	private static TaskReport report(JsonNode node) {
		return new TaskReport(node.path("task").asText(), TaskState.valueOf(node.path("state").asText()),
				node.path("doneMs").asLong(), node.path("answer").asText());
	}

}
