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
 * Checks the runs of gangs. Uses only the logs of the workers and the answers that
 * callers received, no state of the scheduler.
 */
public final class GangHistoryChecker {

	private final long maxPartialMs;

	private final List<String> violations = new ArrayList<>();

	/**
	 * Creates a checker.
	 * @param maxPartialMs the longest time that a gang may run with only part of its
	 * members, in milliseconds
	 */
	public GangHistoryChecker(long maxPartialMs) {
		this.maxPartialMs = maxPartialMs;
	}

	/**
	 * Returns a description of each violation, or an empty list.
	 * @param logs the event logs of all workers
	 * @param atMostOnceJobs the ids of the jobs that may run at most once
	 * @param cancelledAt by job id, the time at which a caller was told that the job was
	 * cancelled before its start
	 * @param answerCounts by id of each job that was reported as done, the number of its
	 * answers
	 */
	public List<String> findViolations(List<List<Event>> logs, Set<String> atMostOnceJobs,
			Map<String, Long> cancelledAt, Map<String, Integer> answerCounts) {
		Map<String, List<Event>> eventsByGang = new TreeMap<>();
		logs.stream()
			.flatMap(List::stream)
			.filter((event) -> event.kind().equals("task-start") || event.kind().equals("task-end"))
			.sorted(Comparator.comparingLong(Event::atMs))
			.forEach((event) -> MemberTaskId.parse(event.id())
				.forEach((task) -> eventsByGang.computeIfAbsent(task.gang(), (gang) -> new ArrayList<>()).add(event)));
		eventsByGang.forEach(this::checkPartialRuns);
		checkAtMostOnce(eventsByGang, atMostOnceJobs);
		checkNoStartAfterCancellation(eventsByGang, cancelledAt);
		checkCompletedJobs(eventsByGang, answerCounts);
		return this.violations;
	}

	/**
	 * Checks that a gang does not run with only part of its members for longer than the
	 * bound, and that all its members end. A member that has ended counts as not running,
	 * whatever the reason.
	 */
	private void checkPartialRuns(String gang, List<Event> events) {
		int members = MemberTaskId.parse(events.getFirst().id()).get().members();
		Set<Integer> running = new HashSet<>();
		long partialSince = -1;
		for (Event event : events) {
			if (partialSince >= 0 && event.atMs() - partialSince > this.maxPartialMs) {
				this.violations.add("gang " + gang + " ran with only part of its members from " + partialSince + " to "
						+ event.atMs());
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
			this.violations.add("gang " + gang + " has members that never ended");
		}
	}

	private void checkAtMostOnce(Map<String, List<Event>> eventsByGang, Set<String> atMostOnceJobs) {
		Map<String, Set<String>> gangsByJob = new HashMap<>();
		eventsByGang.keySet()
			.forEach((gang) -> gangsByJob.computeIfAbsent(jobId(gang), (job) -> new HashSet<>()).add(gang));
		gangsByJob.forEach((job, gangs) -> {
			if (atMostOnceJobs.contains(job) && gangs.size() > 1) {
				this.violations.add("job " + job + " may run at most once but was started as " + gangs);
			}
		});
	}

	private void checkNoStartAfterCancellation(Map<String, List<Event>> eventsByGang, Map<String, Long> cancelledAt) {
		eventsByGang.forEach((gang, events) -> {
			Long cancelled = cancelledAt.get(jobId(gang));
			if (cancelled != null && events.stream()
				.anyMatch((event) -> event.kind().equals("task-start") && event.atMs() > cancelled)) {
				this.violations.add("gang " + gang + " started after its job was cancelled at " + cancelled);
			}
		});
	}

	private void checkCompletedJobs(Map<String, List<Event>> eventsByGang, Map<String, Integer> answerCounts) {
		answerCounts.forEach((job, answers) -> {
			boolean anyAttemptComplete = eventsByGang.entrySet()
				.stream()
				.filter((gang) -> jobId(gang.getKey()).equals(job))
				.anyMatch((gang) -> endedTaskCount(gang.getValue()) >= answers);
			if (!anyAttemptComplete) {
				this.violations
					.add("job " + job + " was reported as done but no attempt of it ran with all its members");
			}
		});
	}

	private static long endedTaskCount(List<Event> events) {
		return events.stream().filter((event) -> event.kind().equals("task-end")).map(Event::id).distinct().count();
	}

	private static String jobId(String gang) {
		return gang.substring(0, gang.lastIndexOf('.'));
	}

}
