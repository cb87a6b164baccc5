package org.citronrelay.internal.holder;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.Catalogue;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.gang.DomainEvent.RecordSeen;
import org.citronrelay.internal.gang.DomainEvent.RenewalCompleted;
import org.citronrelay.internal.platform.Vm;

/**
 * Builds the events with which a new holder initializes its scheduler.
 */
public final class Takeover {

	private Takeover() {
	}

	/**
	 * Returns the initial events in the order in which the scheduler must handle them.
	 * The workers' answers to fencing come after the stored records, so that the
	 * scheduler can distinguish tasks of known jobs from orphaned ones.
	 * @param catalogue the catalogue in force
	 * @param vms the VMs of the failure domain
	 * @param records the stored job records
	 * @param fenced the workers' answers to fencing
	 */
	public static List<DomainEvent> initialEvents(Catalogue catalogue, List<Vm> vms, List<RecordSeen> records,
			List<RenewalCompleted> fenced) {
		List<DomainEvent> events = new ArrayList<>();
		events.add(new DomainEvent.CatalogueApplied(catalogue));
		events.add(new DomainEvent.VmListRead(vms));
		events.addAll(records);
		events.addAll(fenced);
		return events;
	}

}
