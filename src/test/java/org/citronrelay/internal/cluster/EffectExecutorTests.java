package org.citronrelay.internal.cluster;

import java.util.List;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.Moment;
import org.citronrelay.internal.schedule.RunOver;
import org.citronrelay.internal.schedule.RunOverEvidence;
import org.citronrelay.internal.schedule.RunSighting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what {@link EffectExecutor} writes to the log and the metrics.
 */
class EffectExecutorTests {

	private static final TaskId TASK = new TaskId("job-of-these-tests", 0, 0, 0);

	private static final RunOver OVER = new RunOver(1, "vm0", 3, RunOverEvidence.LEASE_LAPSED, 20_000, 9_500);

	private static final RunSighting OTHER = new RunSighting(1, "vm0", 3, "ORPHANED", 400, 30);

	private static final RunSighting RECORDED = new RunSighting(2, "vm1", 5, "RUNNING", 700, 60);

	private final ClusterMetrics metrics = new ClusterMetrics();

	private final EffectExecutor executor = new EffectExecutor(
			new Coordinator.Dependencies(null, null, null, null, null, Runnable::run, null, this.metrics),
			new Term(17, "lease", new Moment(2_000, 2_000), Long.MAX_VALUE), (event) -> {
			});

	private final Logger logger = (Logger) Part.JOB.logger();

	private final Level level = this.logger.getLevel();

	private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

	@BeforeEach
	void captureLog() {
		this.appender.start();
		this.logger.setLevel(Level.INFO);
		this.logger.addAppender(this.appender);
	}

	@AfterEach
	void releaseLog() {
		this.logger.detachAppender(this.appender);
		this.logger.setLevel(this.level);
	}

	/** Guards against a start whose line does not lead to the run before. */
	@Test
	void aTaskThatIsStartedAgainIsLoggedWithBothRunsAndCounted() {
		// when
		this.executor.execute(new Effect.StartedAgain(TASK, 2, "vm1", 5, OVER, 150));
		// then
		assertThat(lines()).singleElement().satisfies((line) -> {
			assertThat(line.getLevel()).isEqualTo(Level.INFO);
			assertThat(line.getMessage()).isEqualTo("Starting a task again.");
			assertThat(keyValues(line)).containsExactly("job=job-of-these-tests", "token=17",
					"task=job-of-these-tests/0/0/0", "run=2", "vm=vm1", "boot=5", "previousRun=1", "previousVm=vm0",
					"previousBoot=3", "evidence=LEASE_LAPSED", "evidenceAgeMs=150", "silentBeforeMs=10500");
		});
		assertThat(this.metrics.scrape()).contains("citronrelay_starts_again_total{evidence=\"LEASE_LAPSED\"} 1.0");
	}

	/** Guards against an overlap that does not stand out in the log. */
	@Test
	void twoRunsThatOverlapAreLoggedAsAWarningAndCounted() {
		// when
		this.executor.execute(new Effect.RunsOverlap(TASK, OTHER, RECORDED, OVER, 150));
		// then
		assertThat(lines()).singleElement().satisfies((line) -> {
			assertThat(line.getLevel()).isEqualTo(Level.WARN);
			assertThat(line.getMessage()).isEqualTo("Two runs of a task overlap.");
			assertThat(keyValues(line)).contains("token=17", "task=job-of-these-tests/0/0/0",
					"other=run 1 on vm0, boot 3, ORPHANED, known for 400 ms, VM answered 30 ms ago",
					"recorded=run 2 on vm1, boot 5, RUNNING, known for 700 ms, VM answered 60 ms ago",
					"evidence=LEASE_LAPSED", "evidenceAgeMs=150");
		});
		assertThat(this.metrics.scrape()).contains("citronrelay_runs_overlapping_total{evidence=\"LEASE_LAPSED\"} 1.0");
	}

	/** Guards against a lost success that counts as an overlap. */
	@Test
	void aRunThatSucceededAfterItsTaskWasPlacedAgainHasACounterOfItsOwn() {
		// when
		this.executor.execute(new Effect.SupersededRunDone(TASK, OTHER, RECORDED, OVER, 150));
		// then
		assertThat(lines()).singleElement().satisfies((line) -> assertThat(line.getLevel()).isEqualTo(Level.WARN));
		assertThat(this.metrics.scrape())
			.contains("citronrelay_runs_superseded_done_total{evidence=\"LEASE_LAPSED\"} 1.0")
			.doesNotContain("citronrelay_runs_overlapping");
	}

	/**
	 * Returns the captured lines; other tests may log to the same logger meanwhile.
	 */
	private List<ILoggingEvent> lines() {
		return List.copyOf(this.appender.list)
			.stream()
			.filter((line) -> keyValues(line).contains("job=" + TASK.job()))
			.toList();
	}

	private static List<String> keyValues(ILoggingEvent line) {
		return line.getKeyValuePairs().stream().map((pair) -> pair.key + "=" + pair.value).toList();
	}

}
