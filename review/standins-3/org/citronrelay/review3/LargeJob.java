package org.citronrelay.review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.citronrelay.review3.Stage.Queue;
import org.citronrelay.review3.Stage.Reply;

/** One job with many work items runs; then ordinary jobs have to complete. */
final class LargeJob {

	private static final String LARGE = "00000000cccc0001";

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
		stage.publish(new Queue("reports", 1));
		for (int i = 1; i <= 8; i++) {
			Worker worker = stage.worker("i-7f3a91c" + i, (task) -> 300);
			worker.saves = true;
			worker.recordsRuns = false;
			stage.add(worker);
		}
		stage.start(3);
		Stage.pause(3_000);
		List<String> jobs = new ArrayList<>();
		handInOrdinary(stage, jobs, 3);
		int count = stage.trouble ? 10_000 : 94;
		String phase = "{\"count\":" + count + ",\"cpu\":1000,\"memMb\":64,\"estRuntimeMs\":300,\"savesProgress\":true";
		String body = "{\"spec\":\"sweep\",\"phases\":[" + phase + "}," + phase + ",\"after\":[0]}]}";
		Reply accepted = stage.call(stage.entries.getFirst(), "POST", "/reports/" + LARGE, body, 3_000);
		stage.record.add("client", "POST " + LARGE + " " + body + " -> " + accepted.status());
		long until = System.nanoTime() + 60_000_000_000L;
		long before = -1;
		int still = 0;
		String state = "";
		while (System.nanoTime() < until && still < 6 && !state.contains("completed")) {
			Stage.pause(1_000);
			long done = runs(stage, LARGE, "done");
			state = stage.call(stage.entries.getFirst(), "GET", "/reports/" + LARGE, null, 3_000).body();
			stage.record.add("client", "GET " + LARGE + " -> " + state + "; work items started "
					+ runs(stage, LARGE, null) + ", ended done " + done);
			still = (done == before) ? still + 1 : 0;
			before = done;
		}
		handInOrdinary(stage, jobs, 10);
		Stage.pause(14_000);
		int notCompleted = 0;
		jobs.add(LARGE);
		for (String job : jobs) {
			Reply reply = stage.call(stage.entries.get(1), "GET", "/reports/" + job, null, 3_000);
			stage.record.add("client", "GET " + job + " -> " + reply.status() + " " + reply.body() + ", "
					+ runs(stage, job, null) + " runs, " + runs(stage, job, "done") + " done");
			notCompleted += reply.body().contains("completed") ? 0 : 1;
		}
		int busy = stage.workers.stream().mapToInt(Worker::inUse).sum();
		stage.record.add("verdict", notCompleted + " of " + jobs.size() + " accepted jobs not completed; " + busy
				+ " work items at work on workers with room for 1024");
		return (notCompleted > 0) ? 1 : 0;
	}

	private static long runs(Stage stage, String job, String end) {
		return stage.workers.stream()
			.flatMap((worker) -> worker.runs().stream())
			.filter((run) -> run.task.startsWith(job) && (end == null || run.end.equals(end)))
			.count();
	}

	private static void handInOrdinary(Stage stage, List<String> jobs, int count) {
		for (int i = 0; i < count; i++) {
			String job = String.format("%016x", 0xbbbb0000L + jobs.size());
			Reply reply = stage.call(stage.entries.get(i % 3), "POST", "/reports/" + job,
					"{\"spec\":\"once\",\"phases\":[{\"count\":1,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":300}]}", 3_000);
			stage.record.add("client", "POST ordinary job " + job + " -> " + reply.status());
			if (reply.status() == 200) {
				jobs.add(job);
			}
			Stage.pause(1_000);
		}
	}

}
