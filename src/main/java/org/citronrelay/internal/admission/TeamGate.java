package org.citronrelay.internal.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the requests of each team that are in progress in this process, against this
 * process's share of the team's limit.
 *
 * <p>
 * The share is the limit divided by the live entry processes, rounded up. While all of
 * them agree on their number, at most one request per process more than the limit is in
 * progress; a process that is cut off sees fewer peers and takes a larger share, so in a
 * cut each side may use the whole limit.
 */
public final class TeamGate {

	private final Map<String, AtomicInteger> inProgress = new ConcurrentHashMap<>();

	/**
	 * Enters a request if the team has room.
	 * @param limit the team's limit over all entry processes
	 * @param entries the live entry processes, this one included
	 */
	public boolean tryEnter(String teamId, int limit, int entries) {
		AtomicInteger count = this.inProgress.computeIfAbsent(teamId, (id) -> new AtomicInteger());
		int share = share(limit, entries);
		while (true) {
			int before = count.get();
			if (before >= share) {
				return false;
			}
			if (count.compareAndSet(before, before + 1)) {
				return true;
			}
		}
	}

	/**
	 * Leaves with a request that had entered.
	 */
	public void leave(String teamId) {
		this.inProgress.get(teamId).decrementAndGet();
	}

	/**
	 * The requests of a team in progress here.
	 */
	public int inProgress(String teamId) {
		AtomicInteger count = this.inProgress.get(teamId);
		return (count != null) ? count.get() : 0;
	}

	static int share(int limit, int entries) {
		return Math.ceilDiv(limit, Math.max(1, entries));
	}

}
