package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Effects that were decided and that the caller has not fetched yet.
 */
final class Outbox {

	private List<Effect> effects = new ArrayList<>();

	void add(Effect effect) {
		this.effects.add(effect);
	}

	void note(String job, String decision, String reason) {
		this.effects.add(new Effect.Note(job, decision, reason));
	}

	List<Effect> drain() {
		List<Effect> drained = this.effects;
		this.effects = new ArrayList<>();
		return drained;
	}

}
