package org.citronrelay.internal.cluster;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.citronrelay.internal.build.BuildInfo;
import org.citronrelay.internal.schedule.ClusterScheduler;
import org.citronrelay.internal.schedule.JobPhase;
import org.citronrelay.internal.schedule.RunEndCause;
import org.citronrelay.internal.schedule.RunOverEvidence;
import org.citronrelay.internal.schedule.StartAnswer;

/**
 * The metrics of one process of a cluster. docs/OPERATIONS.md lists them.
 */
final class ClusterMetrics {

	private static final String EVIDENCE = "evidence";

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	/**
	 * Records an answered call of a caller.
	 */
	void recordCall(String method, int status, long tookMs) {
		timer("citronrelay.calls", "method", method, "status", Integer.toString(status)).record(tookMs,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Records a call to the store.
	 * @param way "direct", or "peer" for a call through a peer
	 * @param outcome the status of the answer, or why there was none
	 */
	void recordStoreCall(String way, String outcome, long tookMs) {
		timer("citronrelay.store.calls", "way", way, "outcome", outcome).record(tookMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Records a decision round of the coordinator.
	 */
	void recordDecision(long tookMs) {
		timer("citronrelay.decisions").record(tookMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Counts a command to start a run.
	 */
	void recordStart(StartAnswer answer) {
		this.registry.counter("citronrelay.starts", "answer", answer.name()).increment();
	}

	/**
	 * Counts the start of a task that had a run before.
	 * @param evidence on what evidence the run before counts as over
	 */
	void recordStartAgain(RunOverEvidence evidence) {
		this.registry.counter("citronrelay.starts.again", EVIDENCE, evidence.name()).increment();
	}

	/**
	 * Counts two runs of a task at the same time.
	 * @param evidence on what evidence the orphaned one counted as over
	 */
	void recordRunsOverlap(RunOverEvidence evidence) {
		this.registry.counter("citronrelay.runs.overlapping", EVIDENCE, evidence.name()).increment();
	}

	/**
	 * Counts a run that has succeeded after its task was placed again.
	 * @param evidence on what evidence the run counted as over
	 */
	void recordSupersededRunDone(RunOverEvidence evidence) {
		this.registry.counter("citronrelay.runs.superseded.done", EVIDENCE, evidence.name()).increment();
	}

	/**
	 * Counts a renewal of a VM's lease.
	 */
	void recordRenewal(boolean answered) {
		this.registry.counter("citronrelay.renewals", "answered", Boolean.toString(answered)).increment();
	}

	/**
	 * Counts a crash of a VM, once for each team with a task that may have caused it.
	 */
	void recordVmCrash(Set<String> teams) {
		teams.forEach((team) -> this.registry.counter("citronrelay.vm.crashes", "team", team).increment());
	}

	/**
	 * Counts a job that failed because VMs crash under one of its tasks.
	 */
	void recordGivenUp(String team) {
		this.registry.counter("citronrelay.jobs.given.up", "team", team).increment();
	}

	/**
	 * Records the start of a term as coordinator.
	 * @param loadMs how long it took to load the stored jobs, in milliseconds
	 */
	void recordTerm(long loadMs) {
		timer("citronrelay.terms").record(loadMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Registers the gauges of the scheduler's statistics and of the catalogue version.
	 */
	void registerGauges(Supplier<ClusterScheduler.Statistics> statistics, Supplier<Long> catalogueVersion) {
		for (JobPhase phase : JobPhase.values()) {
			Gauge.builder("citronrelay.jobs", () -> statistics.get().jobs().getOrDefault(phase, 0))
				.tag("phase", phase.name())
				.register(this.registry);
		}
		Gauge.builder("citronrelay.tasks.placed", () -> statistics.get().placedTasks()).register(this.registry);
		Gauge.builder("citronrelay.vms", () -> statistics.get().vms()).register(this.registry);
		for (RunEndCause cause : RunEndCause.values()) {
			Gauge
				.builder("citronrelay.wasted.core.seconds",
						() -> statistics.get().wastedCoreSeconds().getOrDefault(cause, 0.0))
				.tag("cause", cause.name())
				.register(this.registry);
		}
		Gauge.builder("citronrelay.catalogue.version", catalogueVersion::get).register(this.registry);
	}

	/**
	 * Registers the metric that names the build.
	 */
	void registerBuild(BuildInfo build) {
		build.register(this.registry);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 */
	String scrape() {
		return this.registry.scrape();
	}

	private Timer timer(String name, String... tags) {
		return Timer.builder(name)
			.tags(tags)
			.publishPercentileHistogram(false)
			.serviceLevelObjectives(Duration.ofMillis(5), Duration.ofMillis(25), Duration.ofMillis(100),
					Duration.ofMillis(500), Duration.ofSeconds(2))
			.register(this.registry);
	}

}
