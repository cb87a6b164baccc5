package org.citronrelay.soak;

import java.io.IOException;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.time.Pause;

/**
 * A job is accepted and begins; then a new version of the config removes its route, and
 * the leading process is stopped and started again.
 */
final class DroppedRouteCase implements ReviewCase.Case {

	private static final String JOB = "00000000000000f1";

	private static final long FIRST_STEP_MS = 6_000;

	private static final long WATCH_MS = 35_000;

	@Override
	public boolean run(Deployment deployment, boolean trouble) throws IOException {
		deployment.writeConfig(Map.of("tenant-a", 0));
		deployment.addWorkers(2, 8, 0);
		deployment.start();
		Record record = deployment.record;
		Pause.millis(3_000);
		deployment.submit(JOB, 2, "tenant-a", job());
		Pause.millis(1_000);
		if (trouble) {
			String mode = System.getProperty("mode", "both");
			if (!mode.equals("term")) {
				deployment.writeConfig(Map.of("tenant-a", 0), 5, Set.of(0, 1));
				record.add("the operator removes the route of queue-2 with version 5");
				Pause.millis(2_000);
			}
			if (!mode.equals("config")) {
				deployment.restartLeader();
			}
		}
		Pause.millis(WATCH_MS);
		boolean begun = record.events("start").stream().anyMatch((event) -> event.task().startsWith(JOB + ".0.1."));
		boolean firstDone = record.events("end")
			.stream()
			.anyMatch((event) -> event.task().equals(JOB + ".0.0.0") && event.how().equals("done"));
		if (!firstDone) {
			throw new Deployment.CannotRun("the first step was not done");
		}
		record.add("the first step of " + JOB + " was done; the second one " + (begun ? "has begun" : "has not begun"));
		return !begun;
	}

	private static ObjectNode job() {
		ObjectNode body = Json.object().put("spec", Json.object().put("workMs", FIRST_STEP_MS).toString());
		ArrayNode phases = body.putArray("phases");
		for (int step = 0; step < 2; step++) {
			ObjectNode node = phases.addObject()
				.put("count", 1)
				.put("cpu", 11_000)
				.put("memMb", 59_000)
				.put("gpu", 1)
				.put("estRuntimeMs", FIRST_STEP_MS);
			if (step == 1) {
				node.putArray("after").add(0);
			}
		}
		return body;
	}

}
