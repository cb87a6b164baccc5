package org.citronrelay.internal.http;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link TimeLimit}.
 */
class TimeLimitTests {

	private static final long MEGABYTE = 1_000_000;

	@Test
	void aFixedLimitDoesNotGrowWithTheSizeOfTheCall() {
		assertThat(TimeLimit.total(600).remainingMs(600, MEGABYTE, MEGABYTE, 0)).isZero();
	}

	@Test
	void aCallThatCarriesLittleIsOverItsLimitWhenItsAnswerDoesNotBegin() {
		assertThat(TimeLimit.ofSilence(600).remainingMs(600, 100, 0, Long.MAX_VALUE)).isLessThanOrEqualTo(1);
	}

	@Test
	void aCallThatCarriesMuchHasTheTimeToBeSent() {
		// given a value of 1 MB in Base64, and a link of 7 Mbit/s
		long bytes = MEGABYTE * 4 / 3;
		long sendingMs = bytes * 8 / 7_000;
		// then
		assertThat(TimeLimit.ofSilence(600).remainingMs(sendingMs, bytes, 0, Long.MAX_VALUE)).isGreaterThan(600);
	}

	@Test
	void anAnswerThatStopsIsOverItsLimitHoweverLargeItIs() {
		assertThat(TimeLimit.ofSilence(600).remainingMs(1_000, 0, MEGABYTE, 600)).isZero();
	}

	@Test
	void anAnswerThatKeepsComingInTinyPartsIsOverItsLimitInTheEnd() {
		assertThat(TimeLimit.ofSilence(600).remainingMs(60_000, 0, 1_000, 0)).isNegative();
	}

	@Test
	void aWaitDelaysTheBeginningOfTheAnswerOnly() {
		// given
		TimeLimit limit = TimeLimit.ofSilence(600).plusWait(2_000);
		// then
		assertThat(limit.remainingMs(2_000, 0, 0, Long.MAX_VALUE)).isEqualTo(600);
		assertThat(limit.remainingMs(2_000, 0, MEGABYTE, 600)).isZero();
	}

}
