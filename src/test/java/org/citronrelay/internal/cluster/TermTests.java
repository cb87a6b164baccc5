package org.citronrelay.internal.cluster;

import org.citronrelay.internal.schedule.Moment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Term}.
 */
class TermTests {

	private final Term term = new Term(1, "lease", new Moment(2_000, 1_000_002_000L), 3_000);

	@Test
	void theLeaseIsHeldUntilItsTimeHasPassed() {
		assertThat(this.term.holdsLease(new Moment(1_999, 1_000_001_999L))).isTrue();
		assertThat(this.term.holdsLease(new Moment(2_000, 1_000_001_900L))).isFalse();
	}

	@Test
	void theLeaseIsNotHeldAfterASuspensionThatTheMonotonicClockDidNotCount() {
		assertThat(this.term.holdsLease(new Moment(100, 1_000_005_000L))).isFalse();
	}

	@Test
	void aRenewalAfterAJumpOfTheWallClockConfirmsTheLease() {
		// given
		Moment afterJump = new Moment(100, 1_000_005_000L);
		// when
		this.term.renewedUntil(afterJump.plus(2_000));
		// then
		assertThat(this.term.holdsLease(afterJump)).isTrue();
	}

	/** Guards against a coordinator that keeps its term and never gets anything done. */
	@Test
	void aTermIsGivenUpWhenAllLoadsAndWritesFailAlthoughTheLeaseIsRenewed() {
		// when
		for (long now = 0; now <= 3_000; now += 100) {
			assertThat(this.term.ended()).isFalse();
			this.term.renewedUntil(moment(now + 2_000));
			this.term.storeCallFailed(moment(now));
		}
		// then
		assertThat(this.term.ended()).isTrue();
		assertThat(this.term.givenUp()).isTrue();
	}

	@Test
	void aTermIsKeptWhileALoadOrWriteSucceedsNowAndThen() {
		for (long now = 0; now <= 30_000; now += 100) {
			this.term.renewedUntil(moment(now + 2_000));
			this.term.storeCallFailed(moment(now));
			if (now % 2_500 == 0) {
				this.term.storeCallSucceeded();
			}
		}
		assertThat(this.term.ended()).isFalse();
	}

	@Test
	void aTermIsKeptWhileTheStoreDoesNotRenewItsLeaseEither() {
		// given a lease that is not renewed after 2 s
		for (long now = 0; now <= 30_000; now += 100) {
			this.term.storeCallFailed(moment(now));
		}
		assertThat(this.term.givenUp()).isFalse();
	}

	private static Moment moment(long sinceStart) {
		return new Moment(sinceStart, 1_000_000_000L + sinceStart);
	}

	@Test
	void theRemainingTimeIsThatOfTheClockOnWhichTheLeaseEndsFirst() {
		assertThat(this.term.remainingMs(new Moment(500, 1_000_000_400L))).isEqualTo(1_500);
		assertThat(this.term.remainingMs(new Moment(500, 1_000_002_100L))).isEqualTo(-100);
	}

}
