package org.citronrelay;

import java.util.Objects;

/**
 * A job as its caller declares it.
 *
 * @param kind the kind of job, from the catalogue
 * @param shape what it needs
 * @param runMs the declared run time, in milliseconds; a guess that nothing relies on
 * @param payload what each member runs
 */
public record JobSpec(String kind, Shape shape, long runMs, String payload) {

	public JobSpec {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(shape, "shape");
		Objects.requireNonNull(payload, "payload");
	}

}
