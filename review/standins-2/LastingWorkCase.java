package org.citronrelay.soak;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.time.Pause;

/**
 * A tenant fills the idle accelerators with work that lasts; then another tenant asks for
 * what it is guaranteed.
 */
final class LastingWorkCase implements ReviewCase.Case {

	private static final String LASTING = "00000000000000b2";

	private static final String URGENT = "00000000000000c2";

	private static final int WORKERS = 4;

	private static final int GPUS = 8;

	private static final long LASTING_BEGINS_LIMIT_MS = 20_000;

	private static final long WATCH_MS = 20_000;

	@Override
	public boolean run(Deployment deployment, boolean trouble) throws IOException {
		Map<String, Integer> guaranteed = new LinkedHashMap<>();
		guaranteed.put("tenant-a", GPUS);
		guaranteed.put("tenant-b", GPUS);
		deployment.writeConfig(guaranteed);
		deployment.addWorkers(WORKERS, GPUS, 0);
		deployment.start();
		Record record = deployment.record;
		deployment.submit(LASTING, 2, "tenant-b", job(WORKERS, trouble));
		long limit = record.nowMs() + LASTING_BEGINS_LIMIT_MS;
		while (record.events("start").size() < WORKERS) {
			if (record.nowMs() > limit) {
				throw new Deployment.CannotRun("the job of tenant-b has not begun");
			}
			Pause.millis(50);
		}
		Pause.millis(Bounds.CONTACT_MS);
		deployment.submit(URGENT, 0, "tenant-a", job(1, false));
		long acknowledged = record.nowMs();
		long begun = 0;
		while (begun == 0 && record.nowMs() - acknowledged < WATCH_MS) {
			begun = record.events("start")
				.stream()
				.filter((event) -> event.task().startsWith(URGENT))
				.mapToLong(Record.Event::atMs)
				.findFirst()
				.orElse(0);
			Pause.millis(50);
		}
		String state = deployment.state(URGENT, 0, "tenant-a").orElse("unknown");
		record.add("the job of tenant-a, acknowledged at " + acknowledged + " ms, "
				+ ((begun == 0) ? "has not begun " + WATCH_MS + " ms later" : "began at " + begun + " ms") + "; it is "
				+ state);
		return begun == 0 || begun - acknowledged > Bounds.RECLAIM_MS;
	}

	private static ObjectNode job(int items, boolean lasts) {
		ObjectNode spec = Json.object().put("workMs", lasts ? 0 : 100_000);
		ObjectNode body = Json.object().put("spec", spec.toString());
		ObjectNode step = body.putArray("phases")
			.addObject()
			.put("count", items)
			.put("cpu", 15_000)
			.put("memMb", 79_000)
			.put("gpu", GPUS)
			.put("estRuntimeMs", 100_000);
		if (lasts) {
			step.put("longRunning", true).put("maxUnavailable", items);
		}
		return body;
	}

}
