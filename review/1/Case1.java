import java.util.ArrayList;
import java.util.List;

/** A worker loses power while work items are being started on it, and starts again under the same id. */
final class Case1 {

	private static final int WORKERS = 7;

	private static final long DARK_MS = 2_500;

	/** How long a started worker takes until its first write into the store, about half a heartbeat. */
	private static final long REGISTERS_AFTER_MS = 700;

	public static void main(String[] args) {
		CaseRunner.main(args, Case1::run);
	}

	private static boolean run(Deployment deployment, Record record, boolean trouble) throws Exception {
		for (int i = 1; i <= WORKERS; i++) {
			deployment.worker("i-0000000" + i, 128_000).registersAfterMs = REGISTERS_AFTER_MS;
		}
		deployment.config(List.of(Deployment.route("queue-a", "/queue-a/", 0)));
		deployment.startEntries(3);
		Thread.sleep(2_000);
		List<String> jobs = new ArrayList<>();
		submit(deployment, jobs);
		Thread.sleep(700);
		Worker victim = deployment.workerOf(deployment.runs.getFirst());
		if (trouble) {
			victim.losePower();
		}
		Thread.sleep(300);
		submit(deployment, jobs);
		submit(deployment, jobs);
		Thread.sleep(DARK_MS - 300);
		if (trouble) {
			victim.start();
		}
		Thread.sleep(20_000);
		for (String id : jobs) {
			deployment.entries.getFirst().call("GET", "/queue-a/" + id, null, 3_000);
		}
		List<String> overlaps = deployment.overlappingRuns();
		overlaps.forEach((pair) -> record.print("TWICE: at the same time " + pair));
		record.print(deployment.runs.size() + " runs of " + jobs.size() + " work items, " + overlaps.size()
				+ " pairs of runs at the same time");
		return overlaps.isEmpty();
	}

	private static void submit(Deployment deployment, List<String> jobs) {
		String id = String.format("%016x", 0xa000 + jobs.size());
		deployment.entries.get(jobs.size() % deployment.entries.size())
			.submit("/queue-a/" + id, Deployment.job(6_000, 1, 5_000));
		jobs.add(id);
	}

}
