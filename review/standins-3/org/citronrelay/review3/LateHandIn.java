package org.citronrelay.review3;

import java.nio.file.Path;
import java.util.List;

import org.citronrelay.review3.Stage.Queue;
import org.citronrelay.review3.Stage.Reply;

/**
 * A job is handed in while answers of the store are lost and writes are done late; the
 * client gets no definite answer, cancels the job, and is told that there is none.
 */
final class LateHandIn {

	private static final String JOB = "00000000dddd0001";

	private static final long CANCEL_MS = 3_000;

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
		for (int i = 1; i <= 2; i++) {
			stage.add(stage.worker("i-worker" + i, (task) -> 1_500));
		}
		stage.start(3);
		Stage.pause(4_000);
		if (stage.trouble) {
			stage.store.carryOutLate("cr/work/job/" + JOB, 5_500);
		}
		String body = "{\"spec\":\"once\",\"phases\":[{\"count\":2,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":1500}]}";
		Reply posted = stage.call(stage.entries.get(0), "POST", "/reports/" + JOB, body, 3_000);
		stage.record.add("client", "POST " + JOB + " -> " + posted.status() + " " + posted.body());
		stage.store.answerAgain();
		stage.record.add("store", "answers all calls again");
		Reply cancelled = stage.call(stage.entries.get(1), "DELETE", "/reports/" + JOB, null, 3_000);
		long cancelledAt = System.nanoTime();
		stage.record.add("client", "DELETE " + JOB + " -> " + cancelled.status() + " " + cancelled.body());
		if (cancelled.status() / 100 != 2 && cancelled.status() != 410) {
			return 2;
		}
		for (int i = 0; i < 14; i++) {
			Stage.pause(1_000);
			Reply state = stage.call(stage.entries.get(2), "GET", "/reports/" + JOB, null, 3_000);
			stage.record.add("client", "GET " + JOB + " -> " + state.status() + " " + state.body());
		}
		List<Worker.Run> late = stage.workers.stream()
			.flatMap((worker) -> worker.runs().stream())
			.filter((run) -> run.startedAt - cancelledAt > CANCEL_MS * 1_000_000)
			.toList();
		late.forEach((run) -> stage.record.add("verdict", "UNASKED: " + run.task + " run " + run.number + " was started on "
				+ run.worker + " " + (run.startedAt - cancelledAt) / 1_000_000
				+ " ms after the cancelling was acknowledged, end: " + run.end));
		if (late.isEmpty()) {
			stage.record.add("verdict", "held: nothing was started later than " + CANCEL_MS + " ms after the ack");
		}
		return late.isEmpty() ? 0 : 1;
	}

}
