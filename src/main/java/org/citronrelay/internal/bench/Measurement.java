package org.citronrelay.internal.bench;

import java.util.Locale;
import java.util.Objects;

/**
 * One line of the printed results.
 *
 * @param name what was measured
 * @param target the bound that the figure must meet, or an empty string
 * @param figure the measured value with its unit
 * @param verdict {@code met}, {@code MISSED}, or an empty string without a target
 */
record Measurement(String name, String target, String figure, String verdict) {

	Measurement {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(figure, "figure");
	}

	/**
	 * Returns a measurement without a target.
	 */
	static Measurement withoutTarget(String name, String figure) {
		return new Measurement(name, "", figure, "");
	}

	/**
	 * Returns a measurement whose target is an inclusive upper bound.
	 */
	static Measurement atMost(String name, double bound, double figure, String unit) {
		return new Measurement(name, String.format(Locale.ROOT, "at most %s %s", formatNumber(bound), unit),
				String.format(Locale.ROOT, "%s %s", formatNumber(figure), unit), (figure <= bound) ? "met" : "MISSED");
	}

	private static String formatNumber(double value) {
		return String.format(Locale.ROOT, (Math.abs(value) >= 100) ? "%.0f" : "%.3g", value);
	}

}
