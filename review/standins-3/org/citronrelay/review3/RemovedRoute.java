package org.citronrelay.review3;

import java.nio.file.Path;

import org.citronrelay.review3.Stage.Entry;
import org.citronrelay.review3.Stage.Queue;
import org.citronrelay.review3.Stage.Reply;

/**
 * The route of a running job is removed by a new config, then the coordinator is killed;
 * the rest of the job has to run all the same.
 */
final class RemovedRoute {

	private static final String JOB = "00000000eeee0001";

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
		stage.publish(new Queue("reports", 1), new Queue("audits", 1));
		for (int i = 1; i <= 2; i++) {
			stage.add(stage.worker("i-worker" + i, (task) -> task.contains(".0.0.") ? 8_000 : 1_000));
		}
		stage.start(3);
		Stage.pause(3_000);
		String body = "{\"spec\":\"audit\",\"phases\":[{\"count\":2,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":8000},"
				+ "{\"count\":2,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":1000,\"after\":[0]}]}";
		Reply posted = stage.call(stage.entries.getFirst(), "POST", "/audits/" + JOB, body, 3_000);
		stage.record.add("client", "POST /audits/" + JOB + " " + body + " -> " + posted.status());
		if (posted.status() != 200) {
			return 2;
		}
		Stage.pause(2_000);
		stage.publish(new Queue("reports", 1));
		Stage.pause(3_000);
		if (stage.trouble) {
			Entry coordinator = stage.coordinator();
			if (coordinator == null) {
				return 2;
			}
			coordinator.signal("KILL");
			Stage.pause(1_300);
			coordinator.start();
		}
		Stage.pause(20_000);
		String other = "00000000eeee0002";
		Entry entry = stage.entries.get(0);
		Reply second = stage.call(entry, "POST", "/reports/" + other,
				"{\"spec\":\"once\",\"phases\":[{\"count\":1,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":1000}]}", 3_000);
		stage.record.add("client", "POST /reports/" + other + " -> " + second.status());
		Stage.pause(14_000);
		long first = started(stage, JOB + ".0.0.");
		long rest = started(stage, JOB + ".0.1.");
		stage.record.add("verdict", "the job on the removed route: step 0 started " + first + " work items, step 1 started "
				+ rest + " of 2; a later job on the other route started " + started(stage, other) + " of 1");
		return (rest < 2) ? 1 : 0;
	}

	private static long started(Stage stage, String prefix) {
		return stage.workers.stream()
			.flatMap((worker) -> worker.runs().stream())
			.filter((run) -> run.task.startsWith(prefix))
			.map((run) -> run.task)
			.distinct()
			.count();
	}

}
