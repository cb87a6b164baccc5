package org.citronrelay.internal.entry;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry.JobKind;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.Findings;
import org.citronrelay.Guarantee;
import org.citronrelay.Reclaim;
import org.citronrelay.internal.json.FindingCollector;
import org.citronrelay.internal.placement.Fleet;
import org.citronrelay.internal.placement.GuaranteePlan;
import org.citronrelay.internal.placement.GuaranteePlan.Shortfall;
import org.citronrelay.internal.placement.GuaranteePlanner;
import org.citronrelay.internal.platform.Vm;

/**
 * Checks a catalogue before it is applied: guarantees name failure domains of the VM
 * list, the VMs of each domain can hold all its guarantees at once, and only idempotent
 * job kinds may be stopped to reclaim their accelerators.
 */
final class CatalogueFleetCheck implements Function<Catalogue, Findings> {

	private final Supplier<List<Vm>> vms;

	CatalogueFleetCheck(Supplier<List<Vm>> vms) {
		this.vms = vms;
	}

	@Override
	public Findings apply(Catalogue catalogue) {
		FindingCollector collector = new FindingCollector();
		List<Vm> allVms = this.vms.get();
		Set<String> domains = allVms.stream().map(Vm::failureDomain).collect(Collectors.toSet());
		checkDomains(catalogue, domains, collector);
		for (String domain : domains) {
			List<Vm> domainVms = allVms.stream()
				.filter((vm) -> vm.failureDomain().equals(domain) && !vm.draining())
				.toList();
			checkGuarantees(catalogue, domain, domainVms, collector);
		}
		checkReclaim(catalogue, collector);
		return collector.findings();
	}

	private static void checkDomains(Catalogue catalogue, Set<String> domains, FindingCollector collector) {
		for (int teamIndex = 0; teamIndex < catalogue.teams().size(); teamIndex++) {
			Team team = catalogue.teams().get(teamIndex);
			for (int index = 0; index < team.guarantees().size(); index++) {
				Guarantee guarantee = team.guarantees().get(index);
				if (!domains.contains(guarantee.failureDomain())) {
					collector.add("/teams/" + teamIndex + "/guarantees/" + index + "/failureDomain",
							guarantee.failureDomain(),
							"a failure domain of the VM list, one of " + domains.stream().sorted().toList());
				}
			}
		}
	}

	private static void checkGuarantees(Catalogue catalogue, String domain, List<Vm> vms, FindingCollector collector) {
		GuaranteePlan plan = GuaranteePlanner.planFromScratch(Fleet.of(vms),
				GuaranteePlanner.guaranteedShapes(catalogue, domain));
		for (Shortfall shortfall : plan.shortfalls()) {
			collector.add(shortfall.guaranteedShape().pointer(), shortfall.guaranteedShape().shape().toString(),
					"guarantees that the " + vms.size() + " VMs of " + domain + " can hold all at once");
		}
	}

	/**
	 * Rejects reclaiming by a stop for kinds that are not idempotent: a stopped job
	 * starts again from the beginning, so it would run more than once.
	 */
	private static void checkReclaim(Catalogue catalogue, FindingCollector collector) {
		for (int index = 0; index < catalogue.jobKinds().size(); index++) {
			JobKind kind = catalogue.jobKinds().get(index);
			if (kind.reclaim() == Reclaim.STOP && !kind.idempotent()) {
				collector.add("/jobKinds/" + index + "/reclaim", "\"stop\"",
						"\"checkpoint\" or \"never\" for a kind that is not idempotent, because a stopped job starts again from the beginning");
			}
		}
	}

}
