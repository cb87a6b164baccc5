package org.citronrelay.internal.gang;

import java.util.List;
import java.util.Objects;

/**
 * The result of one call of {@link DomainScheduler#decide}.
 *
 * @param state the state after the events
 * @param effects the actions to perform, in this order
 */
public record Decision(DomainState state, List<DomainEffect> effects) {

	public Decision {
		Objects.requireNonNull(state, "state");
		effects = List.copyOf(effects);
	}

}
