package org.citronrelay.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Runs one case: its number, its folder, and whether the disruption is left out. Ends
 * with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
public final class ReviewCase {

	private static final Map<String, Case> CASES = Map.of("crashing-item", new CrashingItemCase(),
			"lasting-work", new LastingWorkCase(), "late-count", new LateCountCase(), "crash-at-start", new CrashAtStartCase());

	private ReviewCase() {
	}

	public static void main(String[] args) throws IOException {
		Case chosen = CASES.get(args[0]);
		Path folder = Path.of(args[1]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path temporary = Files.createTempDirectory("citronrelay-review");
		int code;
		try (Record record = new Record(folder.resolve("record.txt"))) {
			record.add("case " + args[0] + ", " + (trouble ? "with" : "without") + " the disruption");
			try (Deployment deployment = new Deployment(record, temporary, chosen.late(trouble), chosen.lateMs())) {
				code = chosen.run(deployment, trouble) ? 1 : 0;
			}
			catch (RuntimeException | IOException ex) {
				record.add("the case could not run: " + ex);
				code = 2;
			}
			record.add("exit code " + code
					+ ((code == 1) ? ": the rule was broken" : (code == 0) ? ": the rule held" : ""));
		}
		try (var files = Files.list(temporary)) {
			files.forEach((file) -> file.toFile().delete());
		}
		Files.delete(temporary);
		System.exit(code);
	}

	/**
	 * One case.
	 */
	interface Case {

		/**
		 * Runs the case.
		 * @return whether the rule was broken
		 */
		boolean run(Deployment deployment, boolean trouble) throws IOException;

		/**
		 * Chooses the transactions that the store carries out late and does not answer.
		 */
		default Predicate<String> late(boolean trouble) {
			return (transaction) -> false;
		}

		default long lateMs() {
			return 0;
		}

	}

}
