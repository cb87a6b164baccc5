package org.citronrelay.testing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.citronrelay.Outcome;

/**
 * The history of requests with keys, judged without a look at the system: each key runs
 * at most once, who is told "not run" was not run, and all answers of a key are the same.
 */
public final class OnceHistory {

	private final Map<String, List<Integer>> runs = new TreeMap<>();

	private final Map<Integer, Outcome> outcomes = new HashMap<>();

	private final Map<Integer, String> keys = new HashMap<>();

	private int calls;

	/**
	 * Notes that a call begins.
	 * @return its number
	 */
	public synchronized int invoke(String key) {
		this.calls++;
		this.keys.put(this.calls, key);
		return this.calls;
	}

	/**
	 * Notes that the request of a call truly ran.
	 */
	public synchronized void ran(String key, int call) {
		this.runs.computeIfAbsent(key, (missing) -> new ArrayList<>()).add(call);
	}

	/**
	 * Notes what a caller was told.
	 */
	public synchronized void returned(String key, int call, Outcome outcome) {
		this.outcomes.put(call, outcome);
	}

	/**
	 * What breaks a rule, empty when nothing does.
	 */
	public synchronized List<String> judge() {
		List<String> violations = new ArrayList<>();
		this.runs.forEach((key, by) -> {
			if (by.size() > 1) {
				violations.add(key + " ran " + by.size() + " times");
			}
		});
		Map<String, Byte> answers = new HashMap<>();
		this.outcomes.forEach((call, outcome) -> judge(call, outcome, answers, violations));
		return violations;
	}

	private void judge(int call, Outcome outcome, Map<String, Byte> answers, List<String> violations) {
		String key = this.keys.get(call);
		List<Integer> by = this.runs.getOrDefault(key, List.of());
		switch (outcome) {
			case Outcome.NotRun _ when by.contains(call) ->
				violations.add("call " + call + " of " + key + " was told not run and ran");
			case Outcome.NotRun _, Outcome.Unknown _ -> {
			}
			case Outcome.Done done -> {
				Byte earlier = answers.putIfAbsent(key, done.body()[0]);
				if (by.isEmpty()) {
					violations.add("call " + call + " of " + key + " has an answer but nothing ran");
				}
				if (earlier != null && earlier != done.body()[0]) {
					violations.add(key + " has two answers");
				}
			}
		}
	}

}
