package org.citronrelay.internal.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;

/**
 * Runs a group of benchmarks and prints their table.
 */
public final class Bench {

	private final PrintStream out;

	public Bench(PrintStream out) {
		this.out = out;
	}

	/**
	 * Runs a group.
	 * @param group {@code decisions}, {@code path} or {@code capacity}
	 * @return whether there is such a group
	 */
	public boolean run(String group) {
		List<Row> rows = switch (group) {
			case "decisions" -> DecisionBench.run();
			case "path" -> PathBench.run();
			case "capacity" -> CapacityBench.run();
			default -> List.of();
		};
		if (rows.isEmpty()) {
			return false;
		}
		this.out.printf(Locale.ROOT, "%s, %d processors, load %.2f%n", group,
				Runtime.getRuntime().availableProcessors(),
				ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
		this.out.printf("%-72s %-22s %-52s %s%n", "measure", "target", "figure", "verdict");
		rows.forEach((row) -> this.out.printf("%-72s %-22s %-52s %s%n", row.name(), row.target(), row.figure(),
				row.verdict()));
		return true;
	}

}
