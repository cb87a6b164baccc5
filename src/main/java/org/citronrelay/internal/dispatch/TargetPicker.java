package org.citronrelay.internal.dispatch;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;

/**
 * Chooses the worker for a request: of two random ones, the one with the fewest
 * outstanding requests per slot. A worker in this process's failure domain is preferred
 * unless its load exceeds that of the remote one by more than 0.5 requests per slot.
 */
final class TargetPicker {

	private static final int SAMPLE_SIZE = 2;

	private static final double REMOTE_PENALTY = 0.5;

	private static final int MAX_DRAWS = 8;

	private TargetPicker() {
	}

	/**
	 * Returns a worker that was not tried yet, preferably one that is not ejected;
	 * nothing if all workers were tried.
	 */
	static Option<Target> pick(TargetSet targets, Set<Target> tried, RandomGenerator random, long now) {
		Target local = sample(targets.local(), tried, random, now);
		Target remote = sample(targets.remote(), tried, random, now);
		if (local == null && remote == null) {
			return leastLoadedUntried(targets, tried);
		}
		if (local == null || remote == null) {
			return Option.of((local != null) ? local : remote);
		}
		return Option.of((load(local) <= load(remote) + REMOTE_PENALTY) ? local : remote);
	}

	private static Target sample(List<Target> candidates, Set<Target> tried, RandomGenerator random, long now) {
		Target best = null;
		int found = 0;
		for (int attempt = 0; attempt < MAX_DRAWS && found < SAMPLE_SIZE && !candidates.isEmpty(); attempt++) {
			Target candidate = candidates.get(random.nextInt(candidates.size()));
			if (candidate.health().ejectedAt(now) || tried.contains(candidate)) {
				continue;
			}
			found++;
			if (best == null || load(candidate) < load(best)) {
				best = candidate;
			}
		}
		return best;
	}

	/**
	 * Returns the least loaded untried worker, ejected or not. Used when sampling found
	 * none, as a wrong ejection must not make a request fail.
	 */
	private static Option<Target> leastLoadedUntried(TargetSet targets, Set<Target> tried) {
		return Option.ofOptional(targets.all()
			.stream()
			.filter((target) -> !tried.contains(target))
			.min((one, other) -> Double.compare(load(one), load(other))));
	}

	private static double load(Target target) {
		return (double) target.outstanding() / target.vm().slots();
	}

}
