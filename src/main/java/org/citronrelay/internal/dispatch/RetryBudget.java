package org.citronrelay.internal.dispatch;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits retries to a share of the traffic, so that an outage is not made worse by them.
 */
final class RetryBudget {

	private static final int RETRY_COST = 10;

	private static final int FIRST_TRY_EARNS = 1;

	private static final int MOST = 100 * RETRY_COST;

	private final AtomicInteger tokens = new AtomicInteger(MOST / 10);

	/**
	 * Notes a first try, which earns a tenth of a retry.
	 */
	void firstTry() {
		this.tokens.updateAndGet((before) -> Math.min(MOST, before + FIRST_TRY_EARNS));
	}

	/**
	 * Takes a retry out of the budget if there is one.
	 */
	boolean tryRetry() {
		while (true) {
			int before = this.tokens.get();
			if (before < RETRY_COST) {
				return false;
			}
			if (this.tokens.compareAndSet(before, before - RETRY_COST)) {
				return true;
			}
		}
	}

}
