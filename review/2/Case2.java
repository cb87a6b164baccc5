import java.util.List;
import java.util.Map;

/** Two workers of a rack lose power and come back under their ids; then a job is handed in that never ran under a crash. */
final class Case2 {

	private static final int WORKERS = 15;

	private static final long FIRST_BACK_MS = 2_000;

	private static final long SECOND_BACK_MS = 4_400;

	/** How long a started worker takes until its first write into the store, about half a heartbeat. */
	private static final long REGISTERS_AFTER_MS = 700;

	public static void main(String[] args) {
		CaseRunner.main(args, Case2::run);
	}

	private static boolean run(Deployment deployment, Record record, boolean trouble) throws Exception {
		for (int i = 1; i <= WORKERS; i++) {
			deployment.worker(String.format("i-000000%02d", i), 128_000).registersAfterMs = REGISTERS_AFTER_MS;
		}
		deployment.config(List.of(Deployment.route("queue-a", "/queue-a/", 0)));
		deployment.startEntries(3);
		Thread.sleep(2_000);
		long began = Record.now();
		List<Worker> rack = deployment.workers.subList(0, 2);
		if (trouble) {
			rack.forEach(Worker::losePower);
		}
		Thread.sleep(300);
		String path = "/queue-a/0000000000000021";
		deployment.entries.getFirst().submit(path, Deployment.job(3_000, 1, 5_000));
		Thread.sleep(began + FIRST_BACK_MS - Record.now());
		if (trouble) {
			rack.getFirst().start();
		}
		Thread.sleep(began + SECOND_BACK_MS - Record.now());
		if (trouble) {
			rack.getLast().start();
		}
		Thread.sleep(20_000);
		Map<String, Object> state = Json.object(deployment.entries.getFirst().call("GET", path, null, 3_000).body());
		deployment.runs.forEach((run) -> record.print("run: " + run));
		deployment.overlappingRuns().forEach((pair) -> record.print("TWICE: at the same time " + pair));
		long causes = deployment.runs.stream()
			.filter((run) -> run.how.equals("failed") || run.how.equals("lost with the worker"))
			.count();
		boolean givenUp = "failed".equals(state.get("state")) || "cancelled".equals(state.get("state"));
		record.print("the job is shown as " + state.get("state") + "; " + causes
				+ " of its runs failed or were lost with their worker");
		if (givenUp && causes == 0) {
			record.print("LOST: the job is shown as " + state.get("state") + " without cause");
		}
		return !givenUp || causes > 0;
	}

}
