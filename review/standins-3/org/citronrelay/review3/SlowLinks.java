package org.citronrelay.review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.citronrelay.review3.Stage.Entry;
import org.citronrelay.review3.Stage.Queue;
import org.citronrelay.review3.Stage.Reply;

/**
 * Jobs run on machines with slow links; then the coordinator is killed, and later jobs
 * have to run all the same.
 */
final class SlowLinks {

	private static final int JOBS = Integer.getInteger("jobs", 400);

	private static final int SPEC_BYTES = Integer.getInteger("spec", 1_200);

	public static void main(String[] arguments) {
		int code = 2;
		try (Stage stage = new Stage(Path.of(arguments[0]), Path.of(arguments[1]))) {
			code = run(stage);
		}
		catch (RuntimeException ex) {
			ex.printStackTrace();
		}
		Runtime.getRuntime().halt(code);
	}

	private static int run(Stage stage) {
		stage.linkMbps = 7;
		stage.publish(new Queue("reports", 1));
		for (int i = 1; i <= 4; i++) {
			Worker worker = stage.worker("i-worker" + i, (task) -> 300);
			worker.recordsRuns = false;
			stage.add(worker);
		}
		stage.start(3);
		Stage.pause(3_000);
		List<String> jobs = new ArrayList<>();
		handIn(stage, jobs, JOBS, 100, "x".repeat(SPEC_BYTES));
		Stage.pause(2_000);
		stage.record.add("verdict", completed(stage, jobs) + " of " + jobs.size()
				+ " accepted jobs completed before the disruption");
		if (stage.trouble) {
			Entry coordinator = stage.coordinator();
			if (coordinator == null) {
				return 2;
			}
			coordinator.signal("KILL");
			Stage.pause(1_300);
			coordinator.start();
			Stage.pause(8_000);
		}
		List<String> later = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			handIn(stage, later, 1, 1_000, "later");
		}
		Stage.pause(14_000);
		for (String job : later) {
			Reply reply = stage.call(stage.entries.get(1), "GET", "/reports/" + job, null, 3_000);
			stage.record.add("client", "GET " + job + " -> " + reply.status() + " " + reply.body());
		}
		long completed = completed(stage, later);
		for (Entry entry : stage.entries) {
			stage.record.add(entry.name, "alive: " + entry.process.isAlive() + ", terms begun: "
					+ entry.logLines("Elected as coordinator").size() + ", loads finished: "
					+ entry.logLines("starts to schedule").size());
		}
		stage.record.add("verdict", (later.size() - completed) + " of " + later.size()
				+ " jobs accepted after the disruption not completed; " + stage.workers.stream().mapToInt(Worker::inUse).sum()
				+ " work items at work on 4 workers");
		return (completed < later.size()) ? 1 : 0;
	}

	private static long completed(Stage stage, List<String> jobs) {
		return jobs.stream()
			.filter((job) -> stage.workers.stream()
				.flatMap((worker) -> worker.runs().stream())
				.anyMatch((run) -> run.task.startsWith(job) && run.end.equals("done")))
			.count();
	}

	private static void handIn(Stage stage, List<String> jobs, int count, long gapMs, String spec) {
		for (int i = 0; i < count; i++) {
			String job = String.format("%08x%08x", spec.length(), jobs.size());
			for (int tried = 0; tried < 3; tried++) {
				Reply reply = stage.call(stage.entries.get((i + tried) % 3), "POST", "/reports/" + job, "{\"spec\":\"" + spec
						+ "\",\"phases\":[{\"count\":1,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":300}]}", 3_000);
				if (i % 40 == 0 || reply.status() != 200) {
					stage.record.add("client", "POST job " + job + " with a spec of " + spec.length() + " bytes -> "
							+ reply.status());
				}
				if (reply.status() == 200) {
					jobs.add(job);
					break;
				}
			}
			Stage.pause(gapMs);
		}
	}

}
