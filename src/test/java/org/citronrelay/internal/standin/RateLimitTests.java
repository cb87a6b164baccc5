package org.citronrelay.internal.standin;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RateLimitTests {

	@Test
	void aNewSecondBringsNewCalls() {
		// given
		RateLimit limit = new RateLimit(2);

		// when
		boolean first = limit.allows(5_000) && limit.allows(5_001);
		boolean third = limit.allows(5_002);
		boolean later = limit.allows(6_000);

		// then
		assertThat(first).isTrue();
		assertThat(third).isFalse();
		assertThat(later).isTrue();
	}

}
