package org.citronrelay.internal.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.gang.JobRecord;

/**
 * How long decisions take, at four sizes of one failure domain.
 */
final class DecisionBench {

	private static final int[] SIZES = { 125, 250, 500, 1_000 };

	private static final int WORKERS = 1_000;

	private static final int TASKS = 7_400;

	private static final int TEAMS = 70;

	private static final int JOBS_A_DAY = 740;

	private static final int DOMAINS = 11;

	private static final int SAMPLES = 300;

	private static final long SEED = 7;

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private DecisionBench() {
	}

	static List<Row> run() {
		List<Row> rows = new ArrayList<>();
		warmUp();
		List<Slope.Point> points = new ArrayList<>();
		for (int workers : SIZES) {
			Histogram histogram = decisions(workers);
			double p99 = histogram.getValueAtPercentile(99) / NANOS_PER_MS;
			points.add(new Slope.Point(workers, histogram.getMean() / NANOS_PER_MS));
			String name = "one decision, " + workers + " workers, " + TASKS * workers / WORKERS + " tasks, p99";
			rows.add((workers == WORKERS) ? Row.atMost(name, 5, p99, "ms") : Row.plain(name, ms(p99)));
		}
		Slope slope = Slope.fit(points);
		rows.add(Row.plain("mean of a decision, line over " + SIZES.length + " sizes", String.format(Locale.ROOT,
				"%.4f ms + %.6f ms a worker, error %.4f ms", slope.intercept(), slope.perUnit(), slope.error())));
		rows.add(Row.atMost("wave of " + JOBS_A_DAY + " cancellations, decided", 1_000, wave(), "ms"));
		rows.add(Row.atMost("a failure domain lost, " + TASKS / DOMAINS + " tasks, decided", 1_000, lost(), "ms"));
		return rows;
	}

	private static void warmUp() {
		decisions(SIZES[0]);
		decisions(SIZES[1]);
	}

	private static Histogram decisions(int workers) {
		BenchFleet fleet = new BenchFleet(workers, TEAMS, SEED);
		BenchDomain domain = filled(fleet, TASKS * workers / WORKERS);
		Histogram histogram = new Histogram(TimeUnit.SECONDS.toNanos(60), 3);
		for (int sample = 0; sample < SAMPLES; sample++) {
			int number = 1_000_000 + sample;
			JobRecord job = (sample % 10 == 0) ? fleet.largest(number) : fleet.job(number);
			List<DomainEvent> seen = List.of(new DomainEvent.RecordSeen(job, 1_000_000 + sample));
			histogram.recordValue(domain.decideOnly(seen));
		}
		return histogram;
	}

	static BenchDomain filled(BenchFleet fleet, int tasks) {
		BenchDomain domain = new BenchDomain(fleet);
		int running = 0;
		for (int number = 0; running < tasks; number++) {
			JobRecord job = fleet.job(number);
			domain.submit(job);
			running += job.spec().shape().members();
		}
		return domain;
	}

	private static double wave() {
		BenchFleet fleet = new BenchFleet(WORKERS, TEAMS, SEED);
		BenchDomain domain = filled(fleet, TASKS);
		List<JobRecord> waiting = new ArrayList<>();
		for (int number = 0; number < JOBS_A_DAY; number++) {
			JobRecord job = fleet.largest(2_000_000 + number);
			domain.submit(job);
			waiting.add(job);
		}
		return domain.decideOnly(domain.cancellations(waiting)) / NANOS_PER_MS;
	}

	private static double lost() {
		BenchFleet fleet = new BenchFleet(Math.ceilDiv(WORKERS, DOMAINS), TEAMS, SEED);
		BenchDomain domain = filled(fleet, TASKS / DOMAINS);
		domain.advance(10_000);
		return domain.decideOnly(List.of(new DomainEvent.Tick())) / NANOS_PER_MS;
	}

	private static String ms(double value) {
		return String.format(Locale.ROOT, "%.3g ms", value);
	}

}
