package org.citronrelay;

import java.util.Objects;

/**
 * A job as declared by its caller.
 *
 * @param kind the name of a kind of job in the catalogue
 * @param shape the members that the job needs and their resources
 * @param runMs the run time that the caller expects, in milliseconds; this is an
 * estimate, and no rule depends on its accuracy
 * @param payload the description of what each member runs
 */
public record JobSpec(String kind, Shape shape, long runMs, String payload) {

	public JobSpec {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(shape, "shape");
		Objects.requireNonNull(payload, "payload");
	}

}
