package org.citronrelay.internal.standin;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RateLimiterTests {

	@Test
	void theCounterRestartsAtEachFullSecond() {
		// given
		RateLimiter limiter = new RateLimiter(2);

		// when
		boolean first = limiter.tryAcquire(5_000) && limiter.tryAcquire(5_001);
		boolean third = limiter.tryAcquire(5_002);
		boolean later = limiter.tryAcquire(6_000);

		// then
		assertThat(first).isTrue();
		assertThat(third).isFalse();
		assertThat(later).isTrue();
	}

}
