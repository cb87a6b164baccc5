package org.citronrelay.soak;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.time.Pause;

/**
 * The store gives no answer to one write call and carries it out some seconds later, while
 * jobs wait for a busy worker. The requesters then ask how many wait.
 */
final class LateCountCase implements ReviewCase.Case {

	/** The time after which a late call is carried out; the page names 1 to 6 s. */
	private static final long LATE_MS = 5_000;

	private static final int WAITING = 12;

	private static final int ASKS = 6;

	/** How many calls were chosen: one is. */
	private final AtomicInteger lost = new AtomicInteger();

	private volatile boolean armed;

	@Override
	public Predicate<String> late(boolean trouble) {
		return (transaction) -> trouble && this.armed && transaction.contains("cr/waiting")
				&& this.lost.getAndIncrement() == 0;
	}

	@Override
	public long lateMs() {
		return LATE_MS;
	}

	@Override
	public boolean run(Deployment deployment, boolean trouble) throws IOException {
		deployment.writeConfig(Map.of("tenant-a", 0));
		deployment.addWorkers(1, 8, 0);
		deployment.start();
		Record record = deployment.record;
		deployment.submit("00000000000000d1", 1, "tenant-a", job());
		while (record.events("start").isEmpty()) {
			if (record.nowMs() > 30_000) {
				throw new Deployment.CannotRun("the first job has not begun");
			}
			Pause.millis(50);
		}
		Pause.millis(2_000);
		this.armed = true;
		for (int number = 0; number < WAITING; number++) {
			deployment.submit(String.format("%016x", 0xd100 + number), 1, "tenant-a", job());
			Pause.millis((number == 0) ? 1_200 : 50);
		}
		long accepted = record.nowMs();
		// The impairment of the store ends when it has carried the call out.
		Pause.millis(LATE_MS + Bounds.CONTACT_MS + Bounds.VISIBLE_MS + 2_000);
		int wrong = 0;
		for (int ask = 0; ask < ASKS; ask++) {
			Entry entry = deployment.entries.get(ask % deployment.entries.size());
			int pending = deployment.pending(entry, 1, "tenant-a");
			record.add(entry.name + ": GET /p1/ -> pending " + pending + "; " + WAITING + " jobs, accepted "
					+ (record.nowMs() - accepted) + " ms ago or before, have not begun");
			wrong += (pending >= 0 && 2 * pending < WAITING) ? 1 : 0;
			Pause.millis(1_000);
		}
		long begun = record.events("start").size();
		if (begun != 1) {
			throw new Deployment.CannotRun(begun + " work items have begun instead of 1");
		}
		return wrong > 0;
	}

	private static ObjectNode job() {
		ObjectNode body = Json.object().put("spec", Json.object().put("workMs", 110_000).toString());
		body.putArray("phases")
			.addObject()
			.put("count", 1)
			.put("cpu", 15_000)
			.put("memMb", 79_000)
			.put("gpu", 8)
			.put("estRuntimeMs", 110_000);
		return body;
	}

}
