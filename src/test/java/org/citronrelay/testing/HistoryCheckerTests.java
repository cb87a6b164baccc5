package org.citronrelay.testing;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;
import org.citronrelay.internal.standin.RunLog.Event;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the checkers of histories, on which the fault tests rely, report violations.
 */
class HistoryCheckerTests {

	private static final long MAX_PARTIAL_MS = 1_000;

	@Test
	void aGangThatRunsInPartForTooLongIsRejected() {
		assertThat(violations(
				List.of(start("job.1.0.2", 0), start("job.1.1.2", 5), end("job.1.1.2", 100), end("job.1.0.2", 2_000)),
				Set.of(), Map.of(), Map.of()))
			.isNotEmpty();
	}

	@Test
	void aGangThatRunsInPartWithinTheBoundIsAccepted() {
		assertThat(violations(
				List.of(start("job.1.0.2", 0), start("job.1.1.2", 5), end("job.1.1.2", 100), end("job.1.0.2", 900)),
				Set.of(), Map.of(), Map.of()))
			.isEmpty();
	}

	@Test
	void anAtMostOnceJobThatIsStartedTwiceIsRejected() {
		assertThat(violations(
				List.of(start("job.1.0.1", 0), end("job.1.0.1", 10), start("job.2.0.1", 20), end("job.2.0.1", 30)),
				Set.of("job"), Map.of(), Map.of()))
			.isNotEmpty();
	}

	@Test
	void aJobThatStartsAfterItWasCancelledIsRejected() {
		assertThat(violations(List.of(start("job.1.0.1", 20), end("job.1.0.1", 30)), Set.of(), Map.of("job", 10L),
				Map.of()))
			.isNotEmpty();
	}

	@Test
	void aDoneJobWhoseGangNeverRanWithAllMembersIsRejected() {
		assertThat(
				violations(List.of(start("job.1.0.2", 0), end("job.1.0.2", 30)), Set.of(), Map.of(), Map.of("job", 2)))
			.isNotEmpty();
	}

	@Test
	void aKeyThatRanTwiceIsRejected() {
		AtMostOnceHistory history = new AtMostOnceHistory();
		history.recordRun("key", history.recordInvocation("key"));
		history.recordRun("key", history.recordInvocation("key"));
		assertThat(history.findViolations()).isNotEmpty();
	}

	@Test
	void aCallThatRanButWasAnsweredAsNotRunIsRejected() {
		AtMostOnceHistory history = new AtMostOnceHistory();
		int call = history.recordInvocation("key");
		history.recordRun("key", call);
		history.recordOutcome("key", call, new Outcome.NotRun(NotRunCause.OVERLOAD, "no slot", 0));
		assertThat(history.findViolations()).isNotEmpty();
	}

	@Test
	void twoDifferentAnswersToOneKeyAreRejected() {
		AtMostOnceHistory history = new AtMostOnceHistory();
		int first = history.recordInvocation("key");
		int second = history.recordInvocation("key");
		history.recordRun("key", first);
		history.recordOutcome("key", first, new Outcome.Done(200, Map.of(), new byte[] { 1 }));
		history.recordOutcome("key", second, new Outcome.Done(200, Map.of(), new byte[] { 2 }));
		assertThat(history.findViolations()).isNotEmpty();
	}

	private static List<String> violations(List<Event> log, Set<String> atMostOnceJobs, Map<String, Long> cancelledAt,
			Map<String, Integer> answerCounts) {
		return new GangHistoryChecker(MAX_PARTIAL_MS).findViolations(List.of(log), atMostOnceJobs, cancelledAt,
				answerCounts);
	}

	private static Event start(String task, long at) {
		return new Event("task-start", task, at);
	}

	private static Event end(String task, long at) {
		return new Event("task-end", task, at);
	}

}
