package org.citronrelay.testing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.citronrelay.internal.gang.MemberTaskId;
import org.citronrelay.internal.standin.RunLog.Event;

/**
 * Judges what truly ran on the workers, from their logs alone.
 */
public final class GangHistory {

	private final long partialBoundMs;

	private final List<String> violations = new ArrayList<>();

	/**
	 * Creates a judge.
	 * @param partialBoundMs how long a gang may run with only a part of its members
	 */
	public GangHistory(long partialBoundMs) {
		this.partialBoundMs = partialBoundMs;
	}

	/**
	 * What breaks a rule, empty when nothing does.
	 * @param logs the logs of all workers
	 * @param onceOnly the jobs that may run at most once
	 * @param cancelledAt when jobs were answered as cancelled before they had started
	 * @param done the jobs that were answered as done, with the number of their answers
	 */
	public List<String> judge(List<List<Event>> logs, Set<String> onceOnly, Map<String, Long> cancelledAt,
			Map<String, Integer> done) {
		Map<String, List<Event>> byGang = new TreeMap<>();
		logs.stream()
			.flatMap(List::stream)
			.filter((event) -> event.kind().equals("task-start") || event.kind().equals("task-end"))
			.sorted(Comparator.comparingLong(Event::atMs))
			.forEach((event) -> MemberTaskId.parse(event.id())
				.forEach((task) -> byGang.computeIfAbsent(task.gang(), (gang) -> new ArrayList<>()).add(event)));
		byGang.forEach(this::wholeOrBounded);
		atMostOnce(byGang, onceOnly);
		neverAfterCancel(byGang, cancelledAt);
		wholeAnswers(byGang, done);
		return this.violations;
	}

	/**
	 * A gang runs whole, but for the bounded time after a part of it was lost. A member
	 * that has ended for good while others still run leaves a part running.
	 */
	private void wholeOrBounded(String gang, List<Event> events) {
		int members = MemberTaskId.parse(events.getFirst().id()).get().members();
		Set<Integer> running = new HashSet<>();
		long partialSince = -1;
		for (Event event : events) {
			if (partialSince >= 0 && event.atMs() - partialSince > this.partialBoundMs) {
				this.violations.add("gang " + gang + " ran in part from " + partialSince + " to " + event.atMs());
			}
			int member = MemberTaskId.parse(event.id()).get().member();
			if (event.kind().equals("task-start")) {
				running.add(member);
			}
			else {
				running.remove(member);
			}
			boolean partial = !running.isEmpty() && running.size() < members;
			partialSince = partial ? ((partialSince >= 0) ? partialSince : event.atMs()) : -1;
		}
		if (!running.isEmpty()) {
			this.violations.add("gang " + gang + " never ended");
		}
	}

	private void atMostOnce(Map<String, List<Event>> byGang, Set<String> onceOnly) {
		Map<String, Set<String>> attempts = new HashMap<>();
		byGang.keySet().forEach((gang) -> attempts.computeIfAbsent(jobOf(gang), (job) -> new HashSet<>()).add(gang));
		attempts.forEach((job, gangs) -> {
			if (onceOnly.contains(job) && gangs.size() > 1) {
				this.violations.add("job " + job + " may run once and was started as " + gangs);
			}
		});
	}

	private void neverAfterCancel(Map<String, List<Event>> byGang, Map<String, Long> cancelledAt) {
		byGang.forEach((gang, events) -> {
			Long cancelled = cancelledAt.get(jobOf(gang));
			if (cancelled != null && events.stream()
				.anyMatch((event) -> event.kind().equals("task-start") && event.atMs() > cancelled)) {
				this.violations.add("gang " + gang + " started after its job was cancelled at " + cancelled);
			}
		});
	}

	private void wholeAnswers(Map<String, List<Event>> byGang, Map<String, Integer> done) {
		done.forEach((job, answers) -> {
			boolean whole = byGang.entrySet()
				.stream()
				.filter((gang) -> jobOf(gang.getKey()).equals(job))
				.anyMatch((gang) -> ended(gang.getValue()) >= answers);
			if (!whole) {
				this.violations.add("job " + job + " was answered as done but no attempt of it ran whole");
			}
		});
	}

	private static long ended(List<Event> events) {
		return events.stream().filter((event) -> event.kind().equals("task-end")).map(Event::id).distinct().count();
	}

	private static String jobOf(String gang) {
		return gang.substring(0, gang.lastIndexOf('.'));
	}

}
