import java.util.ArrayList;
import java.util.List;

/** A worker loses power while work items are being started on it, and starts again under the same id. */
final class Case1 {

	private static final int WORKERS = 8;

	private static final int JOBS_BEFORE = 12;

	private static final int JOBS_WHILE_DARK = 8;

	private static final long DARK_MS = 2_500;

	private static final long SHORT_WORK_MS = 100;

	private static final long LONG_WORK_MS = 6_000;

	/** How long a started worker takes until its first write into the store, about half a heartbeat. */
	private static final long REGISTERS_AFTER_MS = 700;

	public static void main(String[] args) {
		CaseRunner.main(args, Case1::run);
	}

	private static boolean run(Deployment deployment, Record record, boolean trouble) throws Exception {
		for (int i = 1; i <= WORKERS; i++) {
			deployment.worker("i-0000000" + i, 128_000).registersAfterMs = REGISTERS_AFTER_MS;
			Thread.sleep(Worker.HEARTBEAT_MS / WORKERS);
		}
		deployment.config(List.of(Deployment.route("queue-a", "/queue-a/", 0)));
		deployment.startEntries(3);
		Thread.sleep(2_000);
		List<String> jobs = new ArrayList<>();
		for (int i = 0; i < JOBS_BEFORE; i++) {
			submit(deployment, jobs, SHORT_WORK_MS);
		}
		Thread.sleep(1_000);
		Worker victim = deployment.workerOf(deployment.runs.getLast());
		long darkSince = Record.now();
		if (trouble) {
			victim.losePower();
		}
		Thread.sleep(200);
		for (int i = 0; i < JOBS_WHILE_DARK; i++) {
			submit(deployment, jobs, (i % 2 == 0) ? SHORT_WORK_MS : LONG_WORK_MS);
			Thread.sleep(70);
		}
		Thread.sleep(darkSince + DARK_MS - Record.now());
		if (trouble) {
			victim.start();
		}
		Thread.sleep(25_000);
		for (String id : jobs) {
			deployment.entries.getFirst().call("GET", "/queue-a/" + id, null, 3_000);
		}
		List<String> again = deployment.startsAfterNotedEnds();
		again.forEach((pair) -> record.print("TWICE: started after an end that was taken note of: " + pair));
		List<String> overlaps = deployment.overlappingRuns();
		overlaps.forEach((pair) -> record.print("TWICE: at the same time " + pair));
		record.print(deployment.runs.size() + " runs of " + jobs.size() + " work items, " + again.size()
				+ " starts after a noted end, " + overlaps.size() + " pairs of runs at the same time");
		return again.isEmpty() && overlaps.isEmpty();
	}

	private static void submit(Deployment deployment, List<String> jobs, long workMs) {
		String id = String.format("%016x", 0xa000 + jobs.size());
		deployment.entries.get(jobs.size() % deployment.entries.size())
			.submit("/queue-a/" + id, Deployment.job(workMs, 1, 5_000));
		jobs.add(id);
	}

}
