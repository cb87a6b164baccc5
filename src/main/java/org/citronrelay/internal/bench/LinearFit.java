package org.citronrelay.internal.bench;

import java.util.List;

/**
 * Least-squares line through measured points.
 *
 * @param intercept the estimated value at size 0
 * @param perUnit the increase of the value per unit of size
 * @param rmsError the root mean square of the residuals
 */
record LinearFit(double intercept, double perUnit, double rmsError) {

	/**
	 * Fits a line to points of at least two different sizes.
	 */
	static LinearFit fit(List<Point> points) {
		double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
		double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
		double covariance = points.stream()
			.mapToDouble((point) -> (point.size() - meanSize) * (point.value() - meanValue))
			.sum();
		double variance = points.stream().mapToDouble((point) -> Math.pow(point.size() - meanSize, 2)).sum();
		double perUnit = covariance / variance;
		double intercept = meanValue - perUnit * meanSize;
		double meanSquaredResidual = points.stream()
			.mapToDouble((point) -> Math.pow(point.value() - intercept - perUnit * point.size(), 2))
			.average()
			.orElse(0);
		return new LinearFit(intercept, perUnit, Math.sqrt(meanSquaredResidual));
	}

	/**
	 * Returns the estimated value at a size.
	 */
	double valueAt(double size) {
		return this.intercept + this.perUnit * size;
	}

	/**
	 * A measured point.
	 *
	 * @param size the size of the input, such as a number of workers
	 * @param value the value measured at this size
	 */
	record Point(double size, double value) {
	}

}
