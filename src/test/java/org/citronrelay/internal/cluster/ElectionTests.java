package org.citronrelay.internal.cluster;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.awaitility.Awaitility;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.schedule.Moment;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Election}.
 */
class ElectionTests {

	private final InMemoryClusterStore store = new InMemoryClusterStore();

	@Test
	void aProcessStaysACandidateAfterAnUnexpectedErrorInItsTerm() {
		// given a coordinator that fails in its first term
		AtomicInteger terms = new AtomicInteger();
		Election election = election((term) -> {
			if (terms.incrementAndGet() == 1) {
				throw new IllegalStateException("planted");
			}
		});
		// when
		Thread thread = Thread.ofVirtual().start(election);
		// then it is elected again
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> terms.get() >= 2);
		assertThat(thread.isAlive()).isTrue();
		election.withdraw();
	}

	/**
	 * Guards against a cluster in which nothing runs, as the coordinator cannot load the
	 * jobs and another process that could does not get its turn.
	 */
	@Test
	void aProcessThatGetsNothingDoneLetsAnotherBecomeCoordinator() {
		// given a process whose loads all fail, with more cores than the other
		AtomicInteger termsOfTheOther = new AtomicInteger();
		Election stuck = election("stuck", 4, (term) -> {
			while (!term.ended()) {
				term.storeCallFailed(now());
				Pause.millis(10);
			}
		});
		Election other = election("other", 1, (term) -> {
			termsOfTheOther.incrementAndGet();
			term.storeCallSucceeded();
			while (!term.ended()) {
				Pause.millis(10);
			}
		});
		// when
		Thread.ofVirtual().start(stuck);
		Awaitility.await()
			.atMost(Duration.ofSeconds(20))
			.until(() -> !this.store.list(StoreKeys.COORDINATOR).get().entries().isEmpty());
		Thread.ofVirtual().start(other);
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> termsOfTheOther.get() == 1);
		stuck.withdraw();
		other.withdraw();
	}

	/**
	 * Guards against slow processes that interrupt each other before any has finished.
	 */
	@Test
	void aProcessThatGivesUpAgainAndAgainIsMorePatientEachTime() {
		// given a process whose loads succeed only after a long time
		AtomicInteger terms = new AtomicInteger();
		AtomicInteger finished = new AtomicInteger();
		Election slow = election("slow", 1, (term) -> {
			terms.incrementAndGet();
			for (int load = 0; !term.ended() && load < 200; load++) {
				term.storeCallFailed(now());
				Pause.millis(10);
			}
			if (!term.ended()) {
				finished.incrementAndGet();
				term.storeCallSucceeded();
			}
		});
		// when
		Thread.ofVirtual().start(slow);
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> finished.get() > 0);
		assertThat(terms.get()).isGreaterThan(1);
		slow.withdraw();
	}

	private static Moment now() {
		return new Moment(Ticker.system().millis(), System.currentTimeMillis());
	}

	private Election election(Consumer<Term> coordinate) {
		return election("a", 1, coordinate);
	}

	private Election election(String identity, double cores, Consumer<Term> coordinate) {
		return new Election(this.store, Ticker.system(),
				new Election.Candidate(identity, new Address("127.0.0.1", 1), cores), 400, coordinate);
	}

}
