package org.citronrelay.soak;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.time.Pause;

/**
 * An entry process stands still while a requester hands a job in. The requester gives up
 * and cancels the job at another process; then the first one wakes.
 */
final class FrozenSubmitCase implements ReviewCase.Case {

	private static final String JOB = "00000000000000e1";

	private static final long FREEZE_MS = 4_000;

	/** Half the objective of fleet-renew. */
	private static final long LEAVES_AFTER_MS = 500;

	private static final long CANCEL_MS = 3_000;

	private static final long WATCH_MS = 12_000;

	@Override
	public boolean run(Deployment deployment, boolean trouble) throws IOException {
		deployment.writeConfig(Map.of("tenant-a", 0));
		deployment.addWorkers(2, 8, 0);
		deployment.start();
		Record record = deployment.record;
		Pause.millis(4_000);
		// The process that stands still does not lead, so that the leader is in touch all the while.
		Entry frozen = null;
		Entry other = null;
		for (Entry entry : deployment.entries) {
			if (!entry.log("Elected as coordinator").isEmpty()) {
				other = entry;
			}
			else if (frozen == null) {
				frozen = entry;
			}
		}
		if (frozen == null || other == null) {
			throw new Deployment.CannotRun("no process leads");
		}
		if (trouble) {
			frozen.signal("STOP");
			record.add(frozen.name + " stands still");
		}
		long began = record.nowMs();
		Optional<Entry.Reply> submitted = frozen.call(deployment.client, "POST", "/p1/" + JOB, "tenant-a-key", job(),
				LEAVES_AFTER_MS);
		record.add("POST " + JOB + " at " + frozen.name + " -> "
				+ submitted.map(Entry.Reply::toString).orElse("no answer, the requester leaves"));
		Optional<Entry.Reply> cancelled = other.call(deployment.client, "DELETE", "/p1/" + JOB, "tenant-a-key", null);
		record.add("DELETE " + JOB + " at " + other.name + " -> "
				+ cancelled.map(Entry.Reply::toString).orElse("no answer"));
		if (cancelled.filter((reply) -> reply.status() / 100 == 2 || reply.status() == 410).isEmpty()) {
			throw new Deployment.CannotRun("the cancellation was not acknowledged");
		}
		long acknowledged = record.nowMs();
		Pause.millis(Math.max(0, began + FREEZE_MS - record.nowMs()));
		if (trouble) {
			frozen.signal("CONT");
			record.add(frozen.name + " wakes");
		}
		Pause.millis(WATCH_MS);
		record.add("GET " + JOB + " -> " + deployment.state(JOB, 1, "tenant-a").orElse("none"));
		long begun = record.events("start")
			.stream()
			.filter((event) -> event.task().startsWith(JOB))
			.mapToLong(Record.Event::atMs)
			.max()
			.orElse(0);
		record.add("the cancellation was acknowledged at " + acknowledged + " ms; the last start of a work item of "
				+ JOB + " was at " + begun + " ms (0 for none)");
		return begun > acknowledged + CANCEL_MS;
	}

	private static ObjectNode job() {
		ObjectNode body = Json.object().put("spec", Json.object().put("workMs", 60_000).toString());
		body.putArray("phases")
			.addObject()
			.put("count", 1)
			.put("cpu", 15_000)
			.put("memMb", 60_000)
			.put("gpu", 1)
			.put("estRuntimeMs", 60_000);
		return body;
	}

}
