package org.citronrelay.internal.dispatch;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;

/**
 * Chooses the worker for a request: of a few random ones the one with the least
 * outstanding work for its slots. Workers of the own failure domain go first while they
 * have room.
 */
final class TargetPicker {

	private static final int CHOICES = 2;

	private static final double REMOTE_PENALTY = 0.5;

	private static final int TRIES = 8;

	private TargetPicker() {
	}

	/**
	 * A worker that is not ejected and was not tried yet, if there is one.
	 */
	static Option<Target> pick(TargetSet targets, Set<Target> tried, RandomGenerator random, long now) {
		Target local = sample(targets.local(), tried, random, now);
		Target remote = sample(targets.remote(), tried, random, now);
		if (local == null && remote == null) {
			return anyUntried(targets, tried);
		}
		if (local == null || remote == null) {
			return Option.of((local != null) ? local : remote);
		}
		return Option.of((load(local) <= load(remote) + REMOTE_PENALTY) ? local : remote);
	}

	private static Target sample(List<Target> from, Set<Target> tried, RandomGenerator random, long now) {
		Target best = null;
		int found = 0;
		for (int attempt = 0; attempt < TRIES && found < CHOICES && !from.isEmpty(); attempt++) {
			Target candidate = from.get(random.nextInt(from.size()));
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
	 * When sampling found nothing, the least loaded one of all, ejected or not: a wrong
	 * ejection must not make a request fail.
	 */
	private static Option<Target> anyUntried(TargetSet targets, Set<Target> tried) {
		return Option.ofOptional(targets.all()
			.stream()
			.filter((target) -> !tried.contains(target))
			.min((one, other) -> Double.compare(load(one), load(other))));
	}

	private static double load(Target target) {
		return (double) target.outstanding() / target.vm().slots();
	}

}
