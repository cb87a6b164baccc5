package org.citronrelay;

import java.util.Objects;

/**
 * A shape that a team can always have in a failure domain.
 *
 * @param failureDomain where
 * @param shape what
 * @param count how many times at once
 */
public record Guarantee(String failureDomain, Shape shape, int count) {

	public Guarantee {
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(shape, "shape");
	}

}
