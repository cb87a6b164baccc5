package org.citronrelay.review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.citronrelay.review3.Stage.Queue;
import org.citronrelay.review3.Stage.Reply;

/** Large jobs run on machines with slow links; then ordinary jobs have to complete. */
final class LargeJobs {

	private static final int LARGE_JOBS = Integer.getInteger("jobs", 12);

	private static final double MBPS = Integer.getInteger("mbps", 7);

	/** The maxima of the site file for its widest kind of request. */
	private static final int WIDTH = 94;

	private static final int STEPS = 3;

	private static final int TIMES = 6;

	/** The mean of the same kind of request. */
	private static final int MEAN_WIDTH = 16;

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
		stage.linkMbps = MBPS;
		stage.publish(new Queue("reports", 1));
		for (int i = 1; i <= 24; i++) {
			Worker worker = stage.worker(String.format("i-7f3a91%02d", i), (task) -> 300);
			worker.recordsRuns = false;
			worker.saves = true;
			stage.add(worker);
		}
		stage.start(3);
		Stage.pause(3_000);
		List<String> jobs = new ArrayList<>();
		handInOrdinary(stage, jobs, 3);
		String phase = "{\"count\":" + (stage.trouble ? WIDTH : MEAN_WIDTH)
				+ ",\"cpu\":11000,\"memMb\":33000,\"gpu\":0,\"estRuntimeMs\":300,\"savesProgress\":true}";
		String phases = String.join(",", Collections.nCopies(stage.trouble ? STEPS : 1, phase));
		List<String> large = new ArrayList<>();
		long startAt = System.currentTimeMillis() + 5_000;
		for (int i = 0; i < LARGE_JOBS; i++) {
			String body = "{\"spec\":\"nightly\",\"phases\":[" + phases + "],\"repetitions\":" + TIMES + ",\"startAtMs\":"
					+ startAt + ",\"intervalMs\":4500}";
			String job = String.format("%016x", 0xaaaa0000L + i);
			Reply reply = stage.call(stage.entries.get(i % 3), "POST", "/reports/" + job, body, 3_000);
			stage.record.add("client", "POST " + job + " " + ((i == 0) ? body : "(likewise)") + " -> " + reply.status());
			if (reply.status() == 200) {
				large.add(job);
			}
			Stage.pause(290);
		}
		long before = -1;
		int still = 0;
		for (int i = 0; i < 60 && still < 8; i++) {
			Stage.pause(1_000);
			long done = large.stream().mapToLong((job) -> runs(stage, job, "done")).sum();
			stage.record.add("client", "large jobs: " + large.stream().mapToLong((job) -> runs(stage, job, null)).sum()
					+ " starts, " + done + " ended done");
			still = (done == before && System.currentTimeMillis() > startAt) ? still + 1 : 0;
			before = done;
		}
		handInOrdinary(stage, jobs, 10);
		Stage.pause(14_000);
		int notCompleted = 0;
		jobs.addAll(large);
		for (String job : jobs) {
			Reply reply = stage.call(stage.entries.get(1), "GET", "/reports/" + job, null, 3_000);
			stage.record.add("client", "GET " + job + " -> " + reply.status() + " " + reply.body() + ", "
					+ runs(stage, job, null) + " runs, " + runs(stage, job, "done") + " done");
			notCompleted += reply.body().contains("completed") ? 0 : 1;
		}
		int busy = stage.workers.stream().mapToInt(Worker::inUse).sum();
		stage.record.add("verdict", notCompleted + " of " + jobs.size() + " accepted jobs not completed; " + busy
				+ " work items at work on workers with room for 264");
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
