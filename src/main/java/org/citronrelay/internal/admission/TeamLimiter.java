package org.citronrelay.internal.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the requests of each team that are in progress in this process to this process's
 * share of the team's limit.
 *
 * <p>
 * The share is the limit divided by the number of live entry processes, rounded up. While
 * all of them agree on that number, the total exceeds the limit by less than one request
 * per process. In a network partition a process sees fewer peers and uses a larger share,
 * so each side may use the whole limit.
 */
public final class TeamLimiter {

	private final Map<String, AtomicInteger> inProgress = new ConcurrentHashMap<>();

	/**
	 * Counts a request as in progress unless the team has reached this process's share of
	 * its limit.
	 * @param limit the team's limit over all entry processes
	 * @param entryCount the number of live entry processes, including this one
	 * @return whether the request was admitted; if so, the caller must call
	 * {@link #release(String)}
	 */
	public boolean tryAcquire(String teamId, int limit, int entryCount) {
		AtomicInteger count = this.inProgress.computeIfAbsent(teamId, (id) -> new AtomicInteger());
		int share = share(limit, entryCount);
		while (true) {
			int current = count.get();
			if (current >= share) {
				return false;
			}
			if (count.compareAndSet(current, current + 1)) {
				return true;
			}
		}
	}

	/**
	 * Ends a request that was admitted.
	 */
	public void release(String teamId) {
		this.inProgress.get(teamId).decrementAndGet();
	}

	/**
	 * Returns the number of the team's requests in progress in this process.
	 */
	public int inProgress(String teamId) {
		AtomicInteger count = this.inProgress.get(teamId);
		return (count != null) ? count.get() : 0;
	}

	static int share(int limit, int entryCount) {
		return Math.ceilDiv(limit, Math.max(1, entryCount));
	}

}
