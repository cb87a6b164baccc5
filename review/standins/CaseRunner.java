import java.nio.file.Path;

/** Runs a case and exits as run.sh promises: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class CaseRunner {

	private CaseRunner() {
	}

	static void main(String[] args, Body body) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Record record = new Record(Path.of(args[0], "record.txt"));
		record.line(trouble ? "with the disruption" : "without the disruption");
		int exit;
		try (Deployment deployment = new Deployment(record)) {
			exit = body.run(deployment, record, trouble) ? 0 : 1;
		}
		catch (Exception ex) {
			record.print("the case could not run: " + ex);
			exit = 2;
		}
		System.exit(exit);
	}

	/** The steps of a case. */
	interface Body {

		/**
		 * Runs the steps.
		 * @return whether the rule held
		 */
		boolean run(Deployment deployment, Record record, boolean trouble) throws Exception;

	}

}
