package org.citronrelay.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.soak.Record.Event;

/**
 * One work item crashes each worker that starts it, at once: before the worker has
 * answered the call to start it.
 */
final class CrashAtStartCase implements ReviewCase.Case {

	private static final String JOB = "00000000000000a4";

	private static final int WORKERS = 6;

	private static final long BACK_AFTER_MS = 2_500;

	private static final long DAY_MS = 60_000;

	/** The starts that are allowed after three workers have crashed. */
	private static final int STARTS_AFTER = 2;

	private static final int CRASHED_WORKERS = 3;

	/** Jobs that run besides, so that workers are asked for their runs. */
	private static final int JOBS_AT_A_TIME = 8;

	@Override
	public boolean run(Deployment deployment, boolean trouble) throws IOException {
		deployment.writeConfig(Map.of("tenant-a", 8));
		deployment.addWorkers(WORKERS, 8, BACK_AFTER_MS);
		deployment.start();
		Record record = deployment.record;
		Set<String> open = new TreeSet<>();
		int submitted = 0;
		String state = "";
		boolean handedIn = false;
		long began = record.nowMs();
		while (record.nowMs() - began < DAY_MS && !Set.of("completed", "failed").contains(state)) {
			while (open.size() < JOBS_AT_A_TIME) {
				String id = String.format("%016x", 0xa4000 + submitted);
				deployment.submit(id, 1, "tenant-a", job(3, 2_000 + 250 * (submitted % 5), 0));
				open.add(id);
				submitted++;
			}
			if (!handedIn && record.nowMs() - began > 3_000) {
				handedIn = true;
				deployment.submit(JOB, 1, "tenant-a", job(1, 3_000, trouble ? -1 : 0));
			}
			for (String id : List.copyOf(open)) {
				deployment.state(id, 1, "tenant-a")
					.filter((found) -> Set.of("completed", "failed", "cancelled").contains(found))
					.ifPresent((found) -> open.remove(id));
			}
			if (handedIn) {
				String now = deployment.state(JOB, 1, "tenant-a").orElse(state);
				if (!now.equals(state)) {
					record.add("GET " + JOB + " -> " + now);
				}
				state = now;
			}
			Pause.millis(50);
		}
		boolean broken = broken(record, state);
		deployment.entries.forEach((entry) -> entry.log("A VM has crashed")
			.forEach((line) -> record.add(entry.name + " logged " + line)));
		return broken;
	}

	private static boolean broken(Record record, String state) {
		String task = JOB + ".0.0.0";
		List<Event> crashes = record.events("crash").stream().filter((event) -> event.task().equals(task)).toList();
		Set<String> workers = new TreeSet<>();
		long third = Long.MAX_VALUE;
		for (Event crash : crashes) {
			workers.add(crash.worker());
			if (workers.size() == CRASHED_WORKERS) {
				third = Math.min(third, crash.atMs());
			}
		}
		long limit = third;
		List<Event> after = record.events("start")
			.stream()
			.filter((event) -> event.task().equals(task) && event.atMs() > limit)
			.toList();
		record.add(crashes.size() + " crashes under " + task + "; starts after the third worker: " + after.size()
				+ ", at " + after.stream().map((event) -> event.atMs() / 1_000.0 + " s").collect(Collectors.joining(", "))
				+ "; job shown as " + state);
		return after.size() > STARTS_AFTER;
	}

	private static ObjectNode job(int items, long workMs, long crashMs) {
		ObjectNode spec = Json.object().put("workMs", workMs).put("crashMs", crashMs);
		ObjectNode body = Json.object().put("spec", spec.toString());
		body.putArray("phases")
			.addObject()
			.put("count", items)
			.put("cpu", 15_000)
			.put("memMb", 60_000)
			.put("gpu", 1)
			.put("estRuntimeMs", workMs);
		return body;
	}

}
