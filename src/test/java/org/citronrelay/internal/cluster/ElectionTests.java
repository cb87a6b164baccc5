package org.citronrelay.internal.cluster;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.awaitility.Awaitility;
import org.citronrelay.internal.http.Address;
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

	private Election election(Consumer<Term> coordinate) {
		return new Election(this.store, Ticker.system(), new Election.Candidate("a", new Address("127.0.0.1", 1), 1),
				2_000, coordinate);
	}

}
