package org.citronrelay.internal.bench;

import java.util.Locale;
import java.util.Objects;

/**
 * One measured figure.
 *
 * @param name what was measured
 * @param target the target, empty where there is none
 * @param figure the figure
 * @param verdict whether the target was met, empty where there is none
 */
record Row(String name, String target, String figure, String verdict) {

	Row {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(figure, "figure");
	}

	/**
	 * A figure without a target.
	 */
	static Row plain(String name, String figure) {
		return new Row(name, "", figure, "");
	}

	/**
	 * A figure that must not be above a bound.
	 */
	static Row atMost(String name, double bound, double figure, String unit) {
		return new Row(name, String.format(Locale.ROOT, "at most %s %s", trimmed(bound), unit),
				String.format(Locale.ROOT, "%s %s", trimmed(figure), unit), (figure <= bound) ? "met" : "MISSED");
	}

	private static String trimmed(double value) {
		return String.format(Locale.ROOT, (Math.abs(value) >= 100) ? "%.0f" : "%.3g", value);
	}

}
