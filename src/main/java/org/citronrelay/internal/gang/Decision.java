package org.citronrelay.internal.gang;

import java.util.List;
import java.util.Objects;

/**
 * What the scheduler decided.
 *
 * @param state the next state
 * @param effects what has to be done, in this order
 */
public record Decision(DomainState state, List<Effect> effects) {

	public Decision {
		Objects.requireNonNull(state, "state");
		effects = List.copyOf(effects);
	}

}
