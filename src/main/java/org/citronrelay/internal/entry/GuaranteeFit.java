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
 * Checks that the fleet can hold all guarantees of a catalogue at once, and that nothing
 * in it contradicts itself.
 */
final class GuaranteeFit implements Function<Catalogue, Findings> {

	private final Supplier<List<Vm>> vms;

	GuaranteeFit(Supplier<List<Vm>> vms) {
		this.vms = vms;
	}

	@Override
	public Findings apply(Catalogue catalogue) {
		FindingCollector collector = new FindingCollector();
		List<Vm> known = this.vms.get();
		Set<String> domains = known.stream().map(Vm::failureDomain).collect(Collectors.toSet());
		unknownDomains(catalogue, domains, collector);
		for (String domain : domains) {
			List<Vm> here = known.stream().filter((vm) -> vm.failureDomain().equals(domain) && !vm.leaving()).toList();
			shortfalls(catalogue, domain, here, collector);
		}
		restarts(catalogue, collector);
		return collector.findings();
	}

	private static void unknownDomains(Catalogue catalogue, Set<String> domains, FindingCollector collector) {
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

	private static void shortfalls(Catalogue catalogue, String domain, List<Vm> vms, FindingCollector collector) {
		GuaranteePlan plan = GuaranteePlanner.planAnew(Fleet.of(vms), GuaranteePlanner.wanted(catalogue, domain));
		for (Shortfall shortfall : plan.shortfalls()) {
			collector.add(shortfall.wanted().pointer(), shortfall.wanted().shape().toString(),
					"guarantees that the " + vms.size() + " VMs of " + domain + " can hold all at once");
		}
	}

	private static void restarts(Catalogue catalogue, FindingCollector collector) {
		for (int index = 0; index < catalogue.jobKinds().size(); index++) {
			JobKind kind = catalogue.jobKinds().get(index);
			if (kind.reclaim() == Reclaim.STOP && !kind.idempotent()) {
				collector.add("/jobKinds/" + index + "/reclaim", "\"stop\"",
						"\"checkpoint\" or \"never\" for a kind that is not idempotent, since a stopped job begins anew");
			}
		}
	}

}
