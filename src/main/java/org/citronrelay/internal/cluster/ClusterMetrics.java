package org.citronrelay.internal.cluster;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.citronrelay.internal.schedule.JobBook;
import org.citronrelay.internal.schedule.JobPhase;
import org.citronrelay.internal.schedule.StartAnswer;

/**
 * The counters and histograms of one process of a cluster. docs/OPERATIONS.md lists them.
 */
final class ClusterMetrics {

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	/**
	 * Counts an answer to a caller.
	 */
	void answered(String method, int status, long tookMs) {
		timer("citronrelay.calls", "method", method, "status", Integer.toString(status)).record(tookMs,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Counts a call to the store.
	 * @param way directly or through a peer
	 * @param outcome what came of it
	 */
	void stored(String way, String outcome, long tookMs) {
		timer("citronrelay.store.calls", "way", way, "outcome", outcome).record(tookMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Counts a round of decisions of the coordinator.
	 */
	void decided(long tookMs) {
		timer("citronrelay.decisions").record(tookMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Counts an order to start a run.
	 */
	void started(StartAnswer answer) {
		this.registry.counter("citronrelay.starts", "answer", answer.name()).increment();
	}

	/**
	 * Counts the renewal of a VM's lease.
	 */
	void renewed(boolean answered) {
		this.registry.counter("citronrelay.renewals", "answered", Boolean.toString(answered)).increment();
	}

	/**
	 * Counts a term of office that began, and how long it took to read what is stored.
	 */
	void tookOffice(long readMs) {
		timer("citronrelay.terms").record(readMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Shows what the coordinator knows; nothing in a process that is not in office.
	 */
	void watch(Supplier<JobBook.Figures> figures, Supplier<Long> catalogueVersion) {
		for (JobPhase phase : JobPhase.values()) {
			Gauge.builder("citronrelay.jobs", () -> figures.get().jobs().getOrDefault(phase, 0))
				.tag("phase", phase.name())
				.register(this.registry);
		}
		Gauge.builder("citronrelay.tasks.placed", () -> figures.get().placed()).register(this.registry);
		Gauge.builder("citronrelay.vms", () -> figures.get().vms()).register(this.registry);
		Gauge.builder("citronrelay.wasted.core.seconds", () -> figures.get().wasted()).register(this.registry);
		Gauge.builder("citronrelay.catalogue.version", catalogueVersion::get).register(this.registry);
	}

	/**
	 * All figures as text.
	 */
	String text() {
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
