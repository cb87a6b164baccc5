package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.citronrelay.Catalogue;
import org.citronrelay.JobSpec;
import org.citronrelay.Reclaim;
import org.citronrelay.Shape;
import org.citronrelay.Spread;
import org.citronrelay.internal.gang.DomainEvent.RecordSeen;
import org.citronrelay.internal.gang.JobRecord.Owner;
import org.citronrelay.internal.gang.JobRecord.StoredState;
import org.citronrelay.internal.placement.Ask;
import org.citronrelay.internal.placement.Feasibility;
import org.citronrelay.internal.placement.GuaranteePlanner;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.testing.Fixtures;
import org.citronrelay.testing.GangHistory;

/**
 * A run of jobs under faults drawn from the seed of a domain, and what a judge of its
 * history says.
 */
final class GangFaults {

	private static final int FAULTS_UNTIL_MS = 120_000;

	private static final long QUIET_UNTIL_MS = 600_000;

	private static final int JOBS = 25;

	private static final long PARTIAL_BOUND_MS = DomainTimings.DEFAULT.lostAfterMs() + DomainTimings.DEFAULT.leaseMs();

	private GangFaults() {
	}

	static List<Vm> vms() {
		return Fixtures.vms(VirtualDomain.DOMAIN, 8, 4);
	}

	static Verdict run(VirtualDomain domain) {
		Catalogue catalogue = Fixtures.catalogue();
		List<Vm> vms = vms();
		SplittableRandom random = domain.random().split();
		Set<String> onceOnly = new HashSet<>();
		Map<String, Long> cancelledAt = new HashMap<>();
		for (int number = 0; number < JOBS; number++) {
			submit(domain, random, catalogue, vms, number, onceOnly);
			fault(domain, random, vms);
			cancelSometimes(domain, random, number);
			noteCancelled(domain, cancelledAt);
			domain.runUntil(domain.now() + random.nextInt(FAULTS_UNTIL_MS / JOBS));
		}
		calm(domain, vms);
		domain.runUntil(QUIET_UNTIL_MS);
		domain.settleWorkers();
		return verdict(domain, onceOnly, cancelledAt);
	}

	private static Verdict verdict(VirtualDomain domain, Set<String> onceOnly, Map<String, Long> cancelledAt) {
		Map<String, Integer> done = new HashMap<>();
		List<String> open = new ArrayList<>();
		for (RecordSeen seen : domain.jobs().list(VirtualDomain.DOMAIN).get().records()) {
			if (!seen.record().state().terminal()) {
				open.add(seen.record().id() + " " + seen.record().state() + " "
						+ domain.state().phaseOf(seen.record().id()));
			}
			if (seen.record().state() == StoredState.DONE) {
				done.put(seen.record().id(), seen.record().answers().size());
			}
		}
		return new Verdict(new GangHistory(PARTIAL_BOUND_MS).judge(domain.logs(), onceOnly, cancelledAt, done), open);
	}

	private static void submit(VirtualDomain domain, SplittableRandom random, Catalogue catalogue, List<Vm> vms,
			int number, Set<String> onceOnly) {
		boolean idempotent = random.nextBoolean();
		Reclaim reclaim = idempotent ? Reclaim.values()[random.nextInt(3)]
				: (random.nextBoolean() ? Reclaim.NEVER : Reclaim.CHECKPOINT);
		String id = "job-" + number;
		String team = catalogue.teams().get(random.nextInt(catalogue.teams().size())).name();
		String teamId = catalogue.team(team).get().id();
		Shape shape = new Shape(1 + random.nextInt(4), 1 + random.nextInt(8), 4, 8,
				random.nextBoolean() ? Spread.RACK : Spread.DOMAIN);
		Ask ask = new Ask(id, teamId, shape, reclaim != Reclaim.NEVER, false);
		if (!Feasibility.everFits(vms, GuaranteePlanner.wanted(catalogue, VirtualDomain.DOMAIN), ask)) {
			return;
		}
		if (!idempotent && reclaim == Reclaim.NEVER) {
			onceOnly.add(id);
		}
		Owner owner = new Owner(team, teamId, "interactive", random.nextInt(3), random.nextInt(8) == 0, idempotent,
				reclaim, 5);
		JobSpec spec = new JobSpec("reflector-test", shape, 1_000 + random.nextInt(20_000), "payload");
		domain.submit(JobRecord.accepted(id, owner, spec, domain.now()));
	}

	private static void fault(VirtualDomain domain, SplittableRandom random, List<Vm> vms) {
		Vm vm = vms.get(random.nextInt(vms.size()));
		switch (random.nextInt(9)) {
			case 0 -> domain.cut(vm.id(), true);
			case 1 -> vms.forEach((other) -> domain.cut(other.id(), false));
			case 2 -> domain.kill(vm);
			case 3 -> domain.kv().down(true);
			case 4 -> domain.kv().down(false);
			case 5 -> domain.kv().loseReplies(random.nextDouble() * 0.5);
			case 6 -> domain.loseReplies(random.nextDouble() * 0.3);
			case 7 -> domain.newHolder();
			default -> {
			}
		}
	}

	private static void cancelSometimes(VirtualDomain domain, SplittableRandom random, int number) {
		if (random.nextInt(4) != 0) {
			return;
		}
		String id = "job-" + random.nextInt(number + 1);
		domain.jobs().read(VirtualDomain.DOMAIN, id).forEach((found) -> found.forEach((seen) -> {
			if (!seen.record().state().terminal()) {
				domain.jobs()
					.replace(VirtualDomain.DOMAIN, seen.record().ended(StoredState.CANCELLING, "cancelled"),
							seen.revision());
			}
		}));
	}

	private static void noteCancelled(VirtualDomain domain, Map<String, Long> cancelledAt) {
		domain.jobs()
			.list(VirtualDomain.DOMAIN)
			.forEach((listing) -> listing.records()
				.stream()
				.filter((seen) -> seen.record().state() == StoredState.CANCELLED)
				.forEach((seen) -> cancelledAt.putIfAbsent(seen.record().id(), domain.now())));
	}

	private static void calm(VirtualDomain domain, List<Vm> vms) {
		domain.kv().down(false);
		domain.kv().loseReplies(0);
		domain.loseReplies(0);
		vms.forEach((vm) -> domain.cut(vm.id(), false));
	}

	/**
	 * What came of a run.
	 *
	 * @param violations the rules that the history breaks
	 * @param open the jobs that never ended
	 */
	record Verdict(List<String> violations, List<String> open) {
	}

}
