package org.citronrelay.internal.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpEndpoint;
import org.citronrelay.internal.http.HttpLimits;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.HttpReply.Delivery;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks.EndMode;
import org.citronrelay.internal.platform.WorkerTasks.Reservation;
import org.citronrelay.internal.platform.WorkerTasks.TaskReport;
import org.citronrelay.internal.platform.WorkerTasks.WorkerFailure;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * A stand-in for a worker: a request service with a limited number of slots, and the
 * tasks that holders reserve and renew under leases. Calls under {@code /control/} inject
 * faults and return the run log.
 */
public final class StandInWorker implements AutoCloseable {

	/**
	 * The header of an answer to a request that was not started; its value is the reason.
	 */
	public static final String NOT_STARTED = "Not-Started";

	private static final long CHECKPOINT_DURATION_MS = 300;

	/** How long an unresponsive worker holds a call before it drops the connection. */
	private static final long UNRESPONSIVE_HOLD_MS = 600_000;

	private final Vm vm;

	private final Ticker ticker;

	private final long serviceMs;

	private final RunLog log = new RunLog();

	private final TaskTable tasks;

	private final AtomicInteger slotsInUse = new AtomicInteger();

	private final AtomicReference<WorkerFaults> faults = new AtomicReference<>(WorkerFaults.NONE);

	private final HttpEndpoint endpoint;

	/**
	 * Starts the worker.
	 * @param vm the VM that it represents, with the address where it listens
	 * @param serviceMs how long a request takes, in milliseconds
	 * @param timeScale the actual run time of tasks divided by the declared one
	 */
	public StandInWorker(Vm vm, long serviceMs, double timeScale, Ticker ticker) {
		this.vm = vm;
		this.ticker = ticker;
		this.serviceMs = serviceMs;
		this.tasks = new TaskTable(vm.accelerators(), timeScale, this.log);
		HttpLimits limits = new HttpLimits(HttpLimits.DEFAULT.headerBytes(), HttpLimits.DEFAULT.bodyBytes(),
				vm.connections(), HttpLimits.DEFAULT.idle());
		this.endpoint = HttpEndpoint.start(vm.address(), limits, this::handle);
	}

	/**
	 * Returns the log of the requests and tasks that ran on this worker.
	 */
	public RunLog log() {
		return this.log;
	}

	@Override
	public void close() {
		this.endpoint.close();
	}

	private HttpReply handle(HttpCall call) {
		if (call.path().equals("/control/faults")) {
			this.faults.set(WorkerFaults.fromJson(Json.parse(call.body()).getOrElse(Json.object())));
			return HttpReply.json(200, this.faults.get().toJson());
		}
		if (call.path().equals("/control/log")) {
			this.tasks.countRunning(this.ticker.millis());
			return HttpReply.json(200, this.log.toJson());
		}
		WorkerFaults current = this.faults.get();
		if (current.unresponsive()) {
			Pause.millis(UNRESPONSIVE_HOLD_MS);
			return HttpReply.json(200, Json.object()).withDelivery(Delivery.DROPPED);
		}
		Pause.millis(current.delayMs());
		if (call.path().equals("/health")) {
			return HttpReply.json(200, Json.object().put("id", this.vm.id()));
		}
		return call.path().startsWith("/service/") ? serveRequest(call, current) : handleTaskCall(call, current);
	}

	private HttpReply serveRequest(HttpCall call, WorkerFaults current) {
		String request = call.header("Request-Id").getOrElse("");
		if (current.draining()) {
			this.log.add("request-refused", request, this.ticker.millis());
			return notStarted("leaving");
		}
		if (this.slotsInUse.incrementAndGet() > this.vm.slots()) {
			this.slotsInUse.decrementAndGet();
			return notStarted("no slot");
		}
		try {
			this.log.add("request-start", request, this.ticker.millis());
			return runRequest(call, request, current);
		}
		finally {
			this.slotsInUse.decrementAndGet();
		}
	}

	private HttpReply runRequest(HttpCall call, String request, WorkerFaults current) {
		if (current.failsAll()) {
			return Problem.of(500, "failed", "The request service failed.", "Try another worker.").reply();
		}
		Pause.millis(this.serviceMs);
		this.log.add("request-end", request, this.ticker.millis());
		ObjectNode body = Json.object()
			.put("request", request)
			.put("worker", this.vm.id())
			.put("service", call.path().substring("/service/".length()))
			.put("bodyBytes", call.body().length);
		HttpReply reply = HttpReply.json(200, body)
			.header("Request-Id", request)
			.header("Slots-In-Use", Integer.toString(this.slotsInUse.get()));
		return current.truncatesAnswers() ? reply.withDelivery(Delivery.TRUNCATED) : reply;
	}

	private HttpReply notStarted(String reason) {
		return HttpReply.json(503, Json.object().put("reason", reason)).header(NOT_STARTED, reason);
	}

	private HttpReply handleTaskCall(HttpCall call, WorkerFaults current) {
		JsonNode body = Json.parse(call.body()).getOrElse(Json.object());
		long epoch = body.path("epoch").asLong();
		String task = body.path("task").asText();
		long now = this.ticker.millis();
		return switch (call.path()) {
			case "/tasks/fence" -> taskListReply(this.tasks.fence(epoch, now));
			case "/tasks/reserve" -> taskReply(this.tasks.reserve(epoch, reservation(body), current.draining(), now));
			case "/tasks/start" -> taskReply(this.tasks.start(epoch, task, current.failsAll(), now));
			case "/tasks/renew" ->
				taskListReply(this.tasks.renew(epoch, strings(body.path("tasks")), body.path("leaseMs").asLong(), now));
			case "/tasks/end" -> end(epoch, task, EndMode.valueOf(body.path("mode").asText()));
			default -> Problem.of(404, "not-found", "No such call.", "See the protocol.").reply();
		};
	}

	private HttpReply end(long epoch, String task, EndMode mode) {
		if (mode == EndMode.CHECKPOINT) {
			Pause.millis(CHECKPOINT_DURATION_MS);
		}
		return taskReply(this.tasks.end(epoch, task, mode == EndMode.CHECKPOINT, this.ticker.millis()));
	}

	private static Reservation reservation(JsonNode body) {
		return new Reservation(body.path("task").asText(), body.path("firstAccelerator").asInt(),
				body.path("accelerators").asInt(), body.path("cores").asInt(), body.path("memoryGb").asInt(),
				body.path("workMs").asLong(), body.path("doneMs").asLong(), body.path("leaseMs").asLong(),
				body.path("payload").asText());
	}

	private static HttpReply taskReply(Either<WorkerFailure, TaskReport> result) {
		return result.fold(StandInWorker::failureReply, (report) -> HttpReply.json(200, json(report)));
	}

	private static HttpReply taskListReply(Either<WorkerFailure, List<TaskReport>> result) {
		return result.fold(StandInWorker::failureReply, (reports) -> {
			ObjectNode body = Json.object();
			reports.forEach((report) -> body.withArray("tasks").add(json(report)));
			return HttpReply.json(200, body);
		});
	}

	private static HttpReply failureReply(WorkerFailure failure) {
		return switch (failure) {
			case WorkerFailure.StaleEpoch stale -> HttpReply.json(412, Json.object().put("newest", stale.newest()));
			case WorkerFailure.Refused refused -> HttpReply.json(409, Json.object().put("reason", refused.reason()));
			case WorkerFailure.Unreachable _ -> HttpReply.json(503, Json.object());
		};
	}

	private static ObjectNode json(TaskReport report) {
		return Json.object()
			.put("task", report.task())
			.put("state", report.state().name())
			.put("doneMs", report.doneMs())
			.put("answer", report.answer());
	}

	private static List<String> strings(JsonNode array) {
		List<String> strings = new ArrayList<>();
		array.forEach((element) -> strings.add(element.asText()));
		return strings;
	}

}
