package org.citronrelay.internal.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.gang.JobRecord;

/**
 * Measures how long the holder of a failure domain takes for its scheduling decisions.
 */
final class DecisionBenchmark {

	private static final int[] WORKER_COUNTS = { 125, 250, 500, 1_000 };

	private static final int WORKERS = 1_000;

	private static final int TASKS = 7_400;

	private static final int TEAMS = 70;

	private static final int JOBS_PER_DAY = 740;

	private static final int DOMAINS = 11;

	private static final int SAMPLES = 300;

	private static final long SEED = 7;

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private DecisionBenchmark() {
	}

	static List<Measurement> run() {
		List<Measurement> measurements = new ArrayList<>();
		warmUp();
		List<LinearFit.Point> points = new ArrayList<>();
		for (int workers : WORKER_COUNTS) {
			Histogram histogram = decisionTimes(workers);
			double p99 = histogram.getValueAtPercentile(99) / NANOS_PER_MS;
			points.add(new LinearFit.Point(workers, histogram.getMean() / NANOS_PER_MS));
			String name = "time of one decision, " + workers + " workers, " + TASKS * workers / WORKERS + " tasks, p99";
			measurements.add((workers == WORKERS) ? Measurement.atMost(name, 5, p99, "ms")
					: Measurement.withoutTarget(name, formatMs(p99)));
		}
		LinearFit fit = LinearFit.fit(points);
		measurements.add(Measurement.withoutTarget(
				"mean decision time, linear fit over " + WORKER_COUNTS.length + " fleet sizes",
				String.format(Locale.ROOT, "%.4f ms + %.6f ms per worker, RMS error %.4f ms", fit.intercept(),
						fit.perUnit(), fit.rmsError())));
		measurements.add(Measurement.atMost("decision on " + JOBS_PER_DAY + " cancellations at once", 1_000,
				cancellationBurstMs(), "ms"));
		measurements.add(
				Measurement.atMost("decision on the loss of all VMs of a failure domain, " + TASKS / DOMAINS + " tasks",
						1_000, lostDomainMs(), "ms"));
		return measurements;
	}

	private static void warmUp() {
		decisionTimes(WORKER_COUNTS[0]);
		decisionTimes(WORKER_COUNTS[1]);
	}

	private static Histogram decisionTimes(int workers) {
		BenchmarkFleet fleet = new BenchmarkFleet(workers, TEAMS, SEED);
		BenchmarkDomain domain = domainWithTasks(fleet, TASKS * workers / WORKERS);
		Histogram histogram = new Histogram(TimeUnit.SECONDS.toNanos(60), 3);
		for (int sample = 0; sample < SAMPLES; sample++) {
			int number = 1_000_000 + sample;
			JobRecord job = (sample % 10 == 0) ? fleet.largeGang(number) : fleet.randomJob(number);
			List<DomainEvent> events = List.of(new DomainEvent.RecordSeen(job, 1_000_000 + sample));
			histogram.recordValue(domain.decideOnly(events));
		}
		return histogram;
	}

	/**
	 * Returns a domain to which jobs with at least the given number of tasks were
	 * submitted.
	 */
	static BenchmarkDomain domainWithTasks(BenchmarkFleet fleet, int tasks) {
		BenchmarkDomain domain = new BenchmarkDomain(fleet);
		int submittedTasks = 0;
		for (int number = 0; submittedTasks < tasks; number++) {
			JobRecord job = fleet.randomJob(number);
			domain.submit(job);
			submittedTasks += job.spec().shape().members();
		}
		return domain;
	}

	private static double cancellationBurstMs() {
		BenchmarkFleet fleet = new BenchmarkFleet(WORKERS, TEAMS, SEED);
		BenchmarkDomain domain = domainWithTasks(fleet, TASKS);
		List<JobRecord> waiting = new ArrayList<>();
		for (int number = 0; number < JOBS_PER_DAY; number++) {
			JobRecord job = fleet.largeGang(2_000_000 + number);
			domain.submit(job);
			waiting.add(job);
		}
		return domain.decideOnly(domain.cancellations(waiting)) / NANOS_PER_MS;
	}

	private static double lostDomainMs() {
		BenchmarkFleet fleet = new BenchmarkFleet(Math.ceilDiv(WORKERS, DOMAINS), TEAMS, SEED);
		BenchmarkDomain domain = domainWithTasks(fleet, TASKS / DOMAINS);
		// Longer than the 5 s after which a member that was not reported counts as lost.
		domain.advanceMs(10_000);
		return domain.decideOnly(List.of(new DomainEvent.Tick())) / NANOS_PER_MS;
	}

	private static String formatMs(double value) {
		return String.format(Locale.ROOT, "%.3g ms", value);
	}

}
