package org.citronrelay;

import java.util.Objects;

/**
 * Capacity that is available to a team at any time in one failure domain.
 *
 * @param failureDomain the name of the failure domain
 * @param shape the shape of each guaranteed gang
 * @param count how many gangs of this shape can run at the same time
 */
public record Guarantee(String failureDomain, Shape shape, int count) {

	public Guarantee {
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(shape, "shape");
	}

}
