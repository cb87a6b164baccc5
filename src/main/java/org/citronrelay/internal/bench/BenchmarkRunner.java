package org.citronrelay.internal.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;

/**
 * Runs a group of benchmarks and prints their table.
 */
public final class BenchmarkRunner {

	private final PrintStream out;

	public BenchmarkRunner(PrintStream out) {
		this.out = out;
	}

	/**
	 * Runs one group of benchmarks and prints its results.
	 * @param group {@code decisions}, {@code path} or {@code capacity}
	 * @return false if the group is unknown; nothing is printed in that case
	 */
	public boolean run(String group) {
		List<Measurement> measurements = switch (group) {
			case "decisions" -> DecisionBenchmark.run();
			case "path" -> RequestPathBenchmark.run();
			case "capacity" -> CapacityBenchmark.run();
			default -> List.of();
		};
		if (measurements.isEmpty()) {
			return false;
		}
		this.out.printf(Locale.ROOT, "%s, %d processors, load %.2f%n", group,
				Runtime.getRuntime().availableProcessors(),
				ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
		this.out.printf("%-72s %-22s %-52s %s%n", "measurement", "target", "figure", "verdict");
		measurements.forEach((measurement) -> this.out.printf("%-72s %-22s %-52s %s%n", measurement.name(),
				measurement.target(), measurement.figure(), measurement.verdict()));
		return true;
	}

}
