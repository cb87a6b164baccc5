package org.citronrelay.review3;

import java.nio.file.Path;
import java.util.List;

import org.citronrelay.review3.Stage.Queue;
import org.citronrelay.review3.Stage.Reply;

/**
 * An idle worker crashes and starts again under its id as a worker of another kind; a job
 * that requires the kind of before is handed in before the new instance has written its
 * first entry.
 */
final class OtherKind {

	private static final String JOB = "00000000ffff0001";

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
		Worker special = stage.worker("i-worker1", (task) -> 6_000);
		special.labels = List.of("b", "r1-1");
		stage.add(special);
		stage.add(stage.worker("i-worker2", (task) -> 6_000));
		stage.start(3);
		Stage.pause(3_000);
		String body = "{\"spec\":\"special\",\"phases\":[{\"count\":2,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":6000,\"requires\":\"b\"}]}";
		Stage.pause(4_000);
		if (stage.trouble) {
			special.crash();
			Stage.pause(1_500);
			special.labels = List.of("a", "r1-1");
			special.firstEntryAfterMs = Worker.HEARTBEAT_MS;
			special.boot();
			Stage.pause(100);
		}
		Reply posted = stage.call(stage.entries.getFirst(), "POST", "/reports/" + JOB, body, 3_000);
		stage.record.add("client", "POST " + JOB + " " + body + " -> " + posted.status());
		if (posted.status() != 200) {
			return 2;
		}
		Stage.pause(12_000);
		long wrong = 0;
		for (Worker worker : stage.workers) {
			for (Worker.Run run : worker.runs()) {
				if (!run.labels.contains("b")) {
					wrong++;
					stage.record.add("verdict", "ROUTE: " + run.task + " run " + run.number + " requires b and was started on "
							+ run.worker + " with labels " + run.labels + ", end: " + run.end);
				}
			}
		}
		stage.record.add("verdict", wrong + " work items started on a worker without the label");
		return (wrong > 0) ? 1 : 0;
	}

}
