package org.citronrelay.internal.report;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.citronrelay.internal.report.ServiceLevelCounters.Window;

/**
 * A report on service levels: the rate at which each team uses up its error budgets, over
 * short and long windows and added up over all entry processes.
 *
 * <p>
 * A burn rate of 1 uses up exactly the error budget of the objective. An alert needs a
 * high rate in both a long and a short window: the long one shows that the problem is
 * significant, the short one ends the alert soon after the problem ends.
 *
 * @param lines one line for each team, class and kind of work
 * @param domains the state of each failure domain, as reported by the entry processes
 * @param ejected the workers that at least one entry process has ejected
 * @param notReached the entry processes that could not be reached, whose counts are
 * missing
 */
public record BurnRateReport(List<Line> lines, List<JsonNode> domains, List<String> ejected, List<String> notReached) {

	/** At this rate 2 % of a 30-day error budget is used up in one hour. */
	static final double FAST_BURN_RATE = 14.4;

	/** At this rate 5 % of a 30-day error budget is used up in six hours. */
	static final double SLOW_BURN_RATE = 6.0;

	/** The objective of a class for which the report gives none. */
	private static final double DEFAULT_GOOD_SHARE = 0.99;

	public BurnRateReport {
		lines = List.copyOf(lines);
		domains = List.copyOf(domains);
		ejected = List.copyOf(ejected);
		notReached = List.copyOf(notReached);
	}

	/**
	 * Creates the report from the JSON form of {@code /v1/report}, which holds the
	 * answers of the entry processes.
	 */
	public static BurnRateReport fromJson(JsonNode body) {
		Map<String, Double> goodShares = new HashMap<>();
		body.path("objectives")
			.forEach((objective) -> goodShares.put(objective.path("class").asText(),
					objective.path("goodShare").asDouble()));
		Map<String, Map<Window, Counts>> countsByKey = new TreeMap<>();
		List<JsonNode> domains = new ArrayList<>();
		List<String> ejected = new ArrayList<>();
		for (JsonNode entry : body.path("entries")) {
			entry.path("levels").forEach((level) -> add(countsByKey, level));
			if (entry.has("domain")) {
				domains.add(entry.get("domain"));
			}
			entry.path("ejected").forEach((vm) -> ejected.add(vm.asText()));
		}
		List<Line> lines = new ArrayList<>();
		countsByKey.forEach((key, counts) -> lines.add(Line.of(key.split("\t"), counts, goodShares)));
		List<String> notReached = new ArrayList<>();
		body.path("notReached").forEach((entry) -> notReached.add(entry.asText()));
		return new BurnRateReport(lines, domains, ejected.stream().distinct().sorted().toList(), notReached);
	}

	/**
	 * Returns the report as plain text.
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		text.append(String.format("%-18s %-12s %-8s %9s %9s %9s %9s %8s  %s%n", "team", "class", "kind", "burn 5m",
				"burn 30m", "burn 1h", "burn 6h", "mean ms", "state"));
		for (Line line : this.lines) {
			text.append(String.format(Locale.ROOT, "%-18s %-12s %-8s %9.2f %9.2f %9.2f %9.2f %8d  %s%n", line.team(),
					line.serviceClass(), line.kind(), line.burnRate(Window.M5), line.burnRate(Window.M30),
					line.burnRate(Window.H1), line.burnRate(Window.H6), line.meanMs(), line.state()));
		}
		for (JsonNode domain : this.domains) {
			text.append(String.format(Locale.ROOT,
					"domain %s: %d jobs, %d queued, %d accelerators idle, %.0f %% of them unusable for %s%n",
					domain.path("name").asText(), domain.path("jobs").asInt(), domain.path("queued").asInt(),
					domain.path("idleAccelerators").asInt(), 100 * domain.path("unusableShare").asDouble(),
					domain.path("reference").asText()));
			domain.path("shortfalls").forEach((shortfall) -> text.append("  shortfall " + shortfall.asText() + "\n"));
			domain.path("setApart").forEach((vm) -> text.append("  quarantined " + vm.asText() + "\n"));
			domain.path("unreachable").forEach((vm) -> text.append("  unreachable " + vm.asText() + "\n"));
		}
		this.ejected.forEach((vm) -> text.append("ejected " + vm + "\n"));
		this.notReached.forEach((entry) -> text.append("not reached " + entry + "\n"));
		return text.toString();
	}

	/**
	 * Returns the report as a self-contained HTML page.
	 */
	public String html() {
		return BurnRatePage.render(this);
	}

	private static void add(Map<String, Map<Window, Counts>> countsByKey, JsonNode level) {
		String key = level.path("team").asText() + "\t" + level.path("class").asText() + "\t"
				+ level.path("kind").asText().toLowerCase(Locale.ROOT);
		Map<Window, Counts> counts = countsByKey.computeIfAbsent(key, (missing) -> new EnumMap<>(Window.class));
		for (Window window : Window.values()) {
			JsonNode sum = level.path(window.name());
			counts.merge(window,
					new Counts(sum.path("total").asLong(), sum.path("bad").asLong(), sum.path("tookMs").asLong()),
					Counts::plus);
		}
	}

	/**
	 * The counts of one window.
	 *
	 * @param total the number of requests or jobs
	 * @param bad how many of them were not good
	 * @param durationMs the sum of their durations, in milliseconds
	 */
	public record Counts(long total, long bad, long durationMs) {

		Counts plus(Counts other) {
			return new Counts(this.total + other.total, this.bad + other.bad, this.durationMs + other.durationMs);
		}

	}

	/**
	 * The counts of one team, class and kind of work.
	 *
	 * @param team the name of the team
	 * @param serviceClass the name of the class of service
	 * @param kind "request" or "job"
	 * @param goodShare the share of requests or jobs that must be good, below 1
	 * @param counts the counts of each window
	 */
	public record Line(String team, String serviceClass, String kind, double goodShare, Map<Window, Counts> counts) {

		public Line {
			counts = Map.copyOf(counts);
		}

		static Line of(String[] key, Map<Window, Counts> counts, Map<String, Double> goodShares) {
			return new Line(key[0], key[1], key[2], goodShares.getOrDefault(key[1], DEFAULT_GOOD_SHARE), counts);
		}

		/**
		 * Returns the burn rate over a window: the share of bad requests or jobs, divided
		 * by the share that the objective allows. 0 if there were none.
		 */
		public double burnRate(Window window) {
			Counts sum = this.counts.get(window);
			return (sum.total() == 0) ? 0 : (double) sum.bad() / sum.total() / (1 - this.goodShare);
		}

		/**
		 * Returns the mean duration over six hours, in milliseconds.
		 */
		public long meanMs() {
			Counts sum = this.counts.get(Window.H6);
			return (sum.total() == 0) ? 0 : sum.durationMs() / sum.total();
		}

		/**
		 * Returns the alert state: "page", "ticket" or "good".
		 */
		public String state() {
			if (burnRate(Window.H1) >= FAST_BURN_RATE && burnRate(Window.M5) >= FAST_BURN_RATE) {
				return "page";
			}
			return (burnRate(Window.H6) >= SLOW_BURN_RATE && burnRate(Window.M30) >= SLOW_BURN_RATE) ? "ticket"
					: "good";
		}

	}

}
