package org.citronrelay.internal.cluster;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StoreReachability}.
 */
class StoreReachabilityTests {

	private final StoreReachability lost = StoreReachability.REACHABLE.failed("no answer", 5_000);

	@Test
	void aProcessWhosePeersAnswerIsNotIsolatedWhileTheStoreIsAwayForAll() {
		StoreReachability state = this.lost;
		for (int probe = 0; probe < 20; probe++) {
			state = state.peerProbed(true);
		}
		assertThat(state.lost()).isTrue();
		assertThat(state.isolated()).isFalse();
	}

	@Test
	void aProcessThatReachesOnlyThePeersOfItsOwnFailureDomainIsIsolated() {
		// given a third of the peers in the own failure domain
		StoreReachability state = this.lost;
		// when
		for (int probe = 0; probe < 6; probe++) {
			state = state.peerProbed(probe % 3 == 0);
		}
		// then
		assertThat(state.isolated()).isTrue();
	}

	@Test
	void isolationIsNotConcludedFromFewProbes() {
		assertThat(this.lost.peerProbed(false).peerProbed(false).peerProbed(false).isolated()).isFalse();
	}

	@Test
	void theOutcomesOfEarlierProbesAreForgotten() {
		// given
		StoreReachability state = this.lost;
		for (int probe = 0; probe < 8; probe++) {
			state = state.peerProbed(false);
		}
		// when
		for (int probe = 0; probe < 4; probe++) {
			state = state.peerProbed(true);
		}
		// then
		assertThat(state.isolated()).isFalse();
	}

	@Test
	void theTimeOfTheLossIsThatOfTheFirstFailure() {
		assertThat(this.lost.failed("again", 9_000).lostSince()).isEqualTo(5_000);
	}

}
