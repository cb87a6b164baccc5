package org.citronrelay.internal.report;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.citronrelay.internal.report.ServiceLevels.Window;

/**
 * The report on service levels: how fast each error budget burns over short and long
 * windows, merged over all entry processes.
 *
 * <p>
 * A burn rate of 1 uses up exactly the budget of the objective. An alarm needs a high
 * rate in a long and a short window, so that it comes early and goes away soon after.
 *
 * @param lines one line for each team, class and kind
 * @param domains the failure domains in figures
 * @param ejected the workers that entry processes have ejected
 * @param notReached the entry processes that are not part of the report
 */
public record BurnReport(List<Line> lines, List<JsonNode> domains, List<String> ejected, List<String> notReached) {

	static final double FAST_BURN = 14.4;

	static final double SLOW_BURN = 6.0;

	private static final double STANDARD_GOOD_SHARE = 0.99;

	public BurnReport {
		lines = List.copyOf(lines);
		domains = List.copyOf(domains);
		ejected = List.copyOf(ejected);
		notReached = List.copyOf(notReached);
	}

	/**
	 * Makes the report from what the entry processes said.
	 */
	public static BurnReport of(JsonNode body) {
		Map<String, Double> goodShares = new HashMap<>();
		body.path("objectives")
			.forEach((objective) -> goodShares.put(objective.path("class").asText(),
					objective.path("goodShare").asDouble()));
		Map<String, Map<Window, Counts>> sums = new TreeMap<>();
		List<JsonNode> domains = new ArrayList<>();
		List<String> ejected = new ArrayList<>();
		for (JsonNode entry : body.path("entries")) {
			entry.path("levels").forEach((level) -> add(sums, level));
			if (entry.has("domain")) {
				domains.add(entry.get("domain"));
			}
			entry.path("ejected").forEach((vm) -> ejected.add(vm.asText()));
		}
		List<Line> lines = new ArrayList<>();
		sums.forEach((key, counts) -> lines.add(Line.of(key.split("\t"), counts, goodShares)));
		List<String> notReached = new ArrayList<>();
		body.path("notReached").forEach((entry) -> notReached.add(entry.asText()));
		return new BurnReport(lines, domains, ejected.stream().distinct().sorted().toList(), notReached);
	}

	/**
	 * The report as text.
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		text.append(String.format("%-18s %-12s %-8s %9s %9s %9s %9s %8s  %s%n", "team", "class", "kind", "burn 5m",
				"burn 30m", "burn 1h", "burn 6h", "mean ms", "state"));
		for (Line line : this.lines) {
			text.append(String.format(Locale.ROOT, "%-18s %-12s %-8s %9.2f %9.2f %9.2f %9.2f %8d  %s%n", line.team(),
					line.serviceClass(), line.kind(), line.burn(Window.M5), line.burn(Window.M30), line.burn(Window.H1),
					line.burn(Window.H6), line.meanMs(), line.state()));
		}
		for (JsonNode domain : this.domains) {
			text.append(String.format(Locale.ROOT,
					"domain %s: %d jobs, %d queued, %d accelerators idle, %.0f %% of them unusable for %s%n",
					domain.path("name").asText(), domain.path("jobs").asInt(), domain.path("queued").asInt(),
					domain.path("idleAccelerators").asInt(), 100 * domain.path("unusableShare").asDouble(),
					domain.path("reference").asText()));
			domain.path("shortfalls").forEach((shortfall) -> text.append("  shortfall " + shortfall.asText() + "\n"));
			domain.path("setApart").forEach((vm) -> text.append("  set apart " + vm.asText() + "\n"));
			domain.path("unreachable").forEach((vm) -> text.append("  unreachable " + vm.asText() + "\n"));
		}
		this.ejected.forEach((vm) -> text.append("ejected " + vm + "\n"));
		this.notReached.forEach((entry) -> text.append("not reached " + entry + "\n"));
		return text.toString();
	}

	/**
	 * The report as one page that fetches nothing.
	 */
	public String html() {
		return BurnPage.of(this);
	}

	private static void add(Map<String, Map<Window, Counts>> sums, JsonNode level) {
		String key = level.path("team").asText() + "\t" + level.path("class").asText() + "\t"
				+ level.path("kind").asText().toLowerCase(Locale.ROOT);
		Map<Window, Counts> counts = sums.computeIfAbsent(key, (missing) -> new EnumMap<>(Window.class));
		for (Window window : Window.values()) {
			JsonNode sum = level.path(window.name());
			counts.merge(window,
					new Counts(sum.path("total").asLong(), sum.path("bad").asLong(), sum.path("tookMs").asLong()),
					Counts::plus);
		}
	}

	/**
	 * Counts over one window.
	 *
	 * @param total all
	 * @param bad those that were not good
	 * @param tookMs how long all took together, in milliseconds
	 */
	public record Counts(long total, long bad, long tookMs) {

		Counts plus(Counts other) {
			return new Counts(this.total + other.total, this.bad + other.bad, this.tookMs + other.tookMs);
		}

	}

	/**
	 * One line.
	 *
	 * @param team the team
	 * @param serviceClass the class
	 * @param kind requests or jobs
	 * @param goodShare the objective
	 * @param counts the counts of each window
	 */
	public record Line(String team, String serviceClass, String kind, double goodShare, Map<Window, Counts> counts) {

		public Line {
			counts = Map.copyOf(counts);
		}

		static Line of(String[] key, Map<Window, Counts> counts, Map<String, Double> goodShares) {
			return new Line(key[0], key[1], key[2], goodShares.getOrDefault(key[1], STANDARD_GOOD_SHARE), counts);
		}

		/**
		 * How fast the error budget burns; 1 uses it up exactly.
		 */
		public double burn(Window window) {
			Counts sum = this.counts.get(window);
			return (sum.total() == 0) ? 0 : (double) sum.bad() / sum.total() / (1 - this.goodShare);
		}

		/**
		 * The mean time over six hours, in milliseconds.
		 */
		public long meanMs() {
			Counts sum = this.counts.get(Window.H6);
			return (sum.total() == 0) ? 0 : sum.tookMs() / sum.total();
		}

		/**
		 * The state in one word.
		 */
		public String state() {
			if (burn(Window.H1) >= FAST_BURN && burn(Window.M5) >= FAST_BURN) {
				return "page";
			}
			return (burn(Window.H6) >= SLOW_BURN && burn(Window.M30) >= SLOW_BURN) ? "ticket" : "good";
		}

	}

}
