package org.citronrelay.internal.holder;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.Catalogue;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.gang.DomainEvent.RecordSeen;
import org.citronrelay.internal.gang.DomainEvent.Renewed;
import org.citronrelay.internal.platform.Vm;

/**
 * What a new holder tells its scheduler first.
 */
public final class Takeover {

	private Takeover() {
	}

	/**
	 * The first events, in the order in which they have to be told: what the workers said
	 * when they were fenced comes after the records, so that tasks can be told from
	 * orphans.
	 */
	public static List<DomainEvent> events(Catalogue catalogue, List<Vm> vms, List<RecordSeen> records,
			List<Renewed> fenced) {
		List<DomainEvent> events = new ArrayList<>();
		events.add(new DomainEvent.CatalogueSeen(catalogue));
		events.add(new DomainEvent.FleetSeen(vms));
		events.addAll(records);
		events.addAll(fenced);
		return events;
	}

}
