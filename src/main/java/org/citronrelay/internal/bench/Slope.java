package org.citronrelay.internal.bench;

import java.util.List;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept the value at size 0
 * @param perUnit the growth for each unit of size
 * @param error the root of the mean squared residual
 */
record Slope(double intercept, double perUnit, double error) {

	static Slope fit(List<Point> points) {
		double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
		double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
		double covariance = points.stream()
			.mapToDouble((point) -> (point.size() - meanSize) * (point.value() - meanValue))
			.sum();
		double variance = points.stream().mapToDouble((point) -> Math.pow(point.size() - meanSize, 2)).sum();
		double perUnit = covariance / variance;
		double intercept = meanValue - perUnit * meanSize;
		double squares = points.stream()
			.mapToDouble((point) -> Math.pow(point.value() - intercept - perUnit * point.size(), 2))
			.average()
			.orElse(0);
		return new Slope(intercept, perUnit, Math.sqrt(squares));
	}

	double at(double size) {
		return this.intercept + this.perUnit * size;
	}

	/**
	 * A measured point.
	 *
	 * @param size the size
	 * @param value what was measured there
	 */
	record Point(double size, double value) {
	}

}
