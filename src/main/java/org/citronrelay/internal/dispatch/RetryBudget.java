package org.citronrelay.internal.dispatch;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits retries to a tenth of the number of first attempts, so that retries do not make
 * an outage worse. Up to 100 unused retries accumulate.
 */
final class RetryBudget {

	private static final int RETRY_COST = 10;

	private static final int TOKENS_PER_FIRST_ATTEMPT = 1;

	private static final int MAX_TOKENS = 100 * RETRY_COST;

	private final AtomicInteger tokens = new AtomicInteger(MAX_TOKENS / 10);

	/**
	 * Records a first attempt, which earns a tenth of a retry.
	 */
	void recordFirstAttempt() {
		this.tokens.updateAndGet((current) -> Math.min(MAX_TOKENS, current + TOKENS_PER_FIRST_ATTEMPT));
	}

	/**
	 * Uses one retry of the budget.
	 * @return whether the budget allows a retry
	 */
	boolean tryAcquire() {
		while (true) {
			int current = this.tokens.get();
			if (current < RETRY_COST) {
				return false;
			}
			if (this.tokens.compareAndSet(current, current - RETRY_COST)) {
				return true;
			}
		}
	}

}
