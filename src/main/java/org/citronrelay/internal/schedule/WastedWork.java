package org.citronrelay.internal.schedule;

import java.util.EnumMap;
import java.util.Map;

/**
 * Adds up the work of runs that ended before their tasks were done, by cause.
 */
final class WastedWork {

	private final Map<RunEndCause, Double> coreSeconds = new EnumMap<>(RunEndCause.class);

	void add(RunEndCause cause, double lostCoreSeconds) {
		this.coreSeconds.merge(cause, lostCoreSeconds, Double::sum);
	}

	/**
	 * Returns the lost work so far, in core-seconds.
	 */
	Map<RunEndCause, Double> coreSeconds() {
		return Map.copyOf(this.coreSeconds);
	}

}
