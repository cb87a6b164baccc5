package org.citronrelay.testing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.citronrelay.Outcome;

/**
 * Records calls with idempotency keys and checks that each key ran at most once, that a
 * call answered with "not run" did not run, and that all answers to a key are equal. Uses
 * no state of the tested system.
 */
public final class AtMostOnceHistory {

	private final Map<String, List<Integer>> runs = new TreeMap<>();

	private final Map<Integer, Outcome> outcomes = new HashMap<>();

	private final Map<Integer, String> keys = new HashMap<>();

	private int callCount;

	/**
	 * Records the start of a call.
	 * @return the number of the call
	 */
	public synchronized int recordInvocation(String key) {
		this.callCount++;
		this.keys.put(this.callCount, key);
		return this.callCount;
	}

	/**
	 * Records that the backend server executed the request of a call.
	 */
	public synchronized void recordRun(String key, int call) {
		this.runs.computeIfAbsent(key, (missing) -> new ArrayList<>()).add(call);
	}

	/**
	 * Records the outcome that the caller of a call received.
	 */
	public synchronized void recordOutcome(String key, int call, Outcome outcome) {
		this.outcomes.put(call, outcome);
	}

	/**
	 * Returns a description of each violation, or an empty list.
	 */
	public synchronized List<String> findViolations() {
		List<String> violations = new ArrayList<>();
		this.runs.forEach((key, executedCalls) -> {
			if (executedCalls.size() > 1) {
				violations.add(key + " ran " + executedCalls.size() + " times");
			}
		});
		Map<String, Byte> answers = new HashMap<>();
		this.outcomes.forEach((call, outcome) -> checkOutcome(call, outcome, answers, violations));
		return violations;
	}

	private void checkOutcome(int call, Outcome outcome, Map<String, Byte> answers, List<String> violations) {
		String key = this.keys.get(call);
		List<Integer> executedCalls = this.runs.getOrDefault(key, List.of());
		switch (outcome) {
			case Outcome.NotRun _ when executedCalls.contains(call) ->
				violations.add("call " + call + " of " + key + " was answered as not run but ran");
			case Outcome.NotRun _, Outcome.Unknown _ -> {
			}
			case Outcome.Done done -> {
				Byte earlierAnswer = answers.putIfAbsent(key, done.body()[0]);
				if (executedCalls.isEmpty()) {
					violations.add("call " + call + " of " + key + " was answered but its key never ran");
				}
				if (earlierAnswer != null && earlierAnswer != done.body()[0]) {
					violations.add(key + " has two different answers");
				}
			}
		}
	}

}
