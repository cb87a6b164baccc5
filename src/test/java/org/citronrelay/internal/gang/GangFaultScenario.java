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
import org.citronrelay.internal.placement.Feasibility;
import org.citronrelay.internal.placement.GuaranteePlanner;
import org.citronrelay.internal.placement.PlacementRequest;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.testing.Fixtures;
import org.citronrelay.testing.GangHistoryChecker;

/**
 * Runs random jobs under random faults, all drawn from the seed of a simulated domain,
 * and checks the history of the run.
 */
final class GangFaultScenario {

	private static final int FAULTS_UNTIL_MS = 120_000;

	private static final long FAULT_FREE_UNTIL_MS = 600_000;

	private static final int JOBS = 25;

	// How long some members of a gang may run without the others.
	private static final long MAX_PARTIAL_GANG_MS = DomainTimings.DEFAULT.lostAfterMs()
			+ DomainTimings.DEFAULT.leaseMs();

	private GangFaultScenario() {
	}

	static List<Vm> vms() {
		return Fixtures.vms(SimulatedDomain.DOMAIN, 8, 4);
	}

	static RunResult run(SimulatedDomain domain) {
		Catalogue catalogue = Fixtures.catalogue();
		List<Vm> vms = vms();
		SplittableRandom random = domain.random().split();
		Set<String> atMostOnce = new HashSet<>();
		Map<String, Long> cancelledAt = new HashMap<>();
		for (int number = 0; number < JOBS; number++) {
			submit(domain, random, catalogue, vms, number, atMostOnce);
			injectFault(domain, random, vms);
			cancelAtRandom(domain, random, number);
			recordCancellations(domain, cancelledAt);
			domain.runUntil(domain.now() + random.nextInt(FAULTS_UNTIL_MS / JOBS));
		}
		clearAllFaults(domain, vms);
		domain.runUntil(FAULT_FREE_UNTIL_MS);
		domain.expireLeases();
		return result(domain, atMostOnce, cancelledAt);
	}

	private static RunResult result(SimulatedDomain domain, Set<String> atMostOnce, Map<String, Long> cancelledAt) {
		Map<String, Integer> done = new HashMap<>();
		List<String> unfinished = new ArrayList<>();
		for (RecordSeen seen : domain.jobs().list(SimulatedDomain.DOMAIN).get().records()) {
			if (!seen.record().state().terminal()) {
				unfinished.add(seen.record().id() + " " + seen.record().state() + " "
						+ domain.state().phaseOf(seen.record().id()));
			}
			if (seen.record().state() == StoredState.DONE) {
				done.put(seen.record().id(), seen.record().answers().size());
			}
		}
		return new RunResult(new GangHistoryChecker(MAX_PARTIAL_GANG_MS).findViolations(domain.logs(), atMostOnce,
				cancelledAt, done), unfinished);
	}

	private static void submit(SimulatedDomain domain, SplittableRandom random, Catalogue catalogue, List<Vm> vms,
			int number, Set<String> atMostOnce) {
		boolean idempotent = random.nextBoolean();
		Reclaim reclaim = idempotent ? Reclaim.values()[random.nextInt(3)]
				: (random.nextBoolean() ? Reclaim.NEVER : Reclaim.CHECKPOINT);
		String id = "job-" + number;
		String team = catalogue.teams().get(random.nextInt(catalogue.teams().size())).name();
		String teamId = catalogue.team(team).get().id();
		Shape shape = new Shape(1 + random.nextInt(4), 1 + random.nextInt(8), 4, 8,
				random.nextBoolean() ? Spread.RACK : Spread.DOMAIN);
		PlacementRequest request = new PlacementRequest(id, teamId, shape, reclaim != Reclaim.NEVER, false);
		if (!Feasibility.everFits(vms, GuaranteePlanner.guaranteedShapes(catalogue, SimulatedDomain.DOMAIN), request)) {
			return;
		}
		if (!idempotent && reclaim == Reclaim.NEVER) {
			atMostOnce.add(id);
		}
		Owner owner = new Owner(team, teamId, "interactive", random.nextInt(3), random.nextInt(8) == 0, idempotent,
				reclaim, 5);
		JobSpec spec = new JobSpec("reflector-test", shape, 1_000 + random.nextInt(20_000), "payload");
		domain.submit(JobRecord.accepted(id, owner, spec, domain.now()));
	}

	private static void injectFault(SimulatedDomain domain, SplittableRandom random, List<Vm> vms) {
		Vm vm = vms.get(random.nextInt(vms.size()));
		switch (random.nextInt(9)) {
			case 0 -> domain.partition(vm.id(), true);
			case 1 -> vms.forEach((other) -> domain.partition(other.id(), false));
			case 2 -> domain.restartWorker(vm);
			case 3 -> domain.kv().setUnavailable(true);
			case 4 -> domain.kv().setUnavailable(false);
			case 5 -> domain.kv().setReplyLossRate(random.nextDouble() * 0.5);
			case 6 -> domain.loseReplies(random.nextDouble() * 0.3);
			case 7 -> domain.replaceHolder();
			default -> {
			}
		}
	}

	private static void cancelAtRandom(SimulatedDomain domain, SplittableRandom random, int number) {
		if (random.nextInt(4) != 0) {
			return;
		}
		String id = "job-" + random.nextInt(number + 1);
		domain.jobs().read(SimulatedDomain.DOMAIN, id).forEach((found) -> found.forEach((seen) -> {
			if (!seen.record().state().terminal()) {
				domain.jobs()
					.replace(SimulatedDomain.DOMAIN, seen.record().withState(StoredState.CANCELLING, "cancelled"),
							seen.revision());
			}
		}));
	}

	private static void recordCancellations(SimulatedDomain domain, Map<String, Long> cancelledAt) {
		domain.jobs()
			.list(SimulatedDomain.DOMAIN)
			.forEach((listing) -> listing.records()
				.stream()
				.filter((seen) -> seen.record().state() == StoredState.CANCELLED)
				.forEach((seen) -> cancelledAt.putIfAbsent(seen.record().id(), domain.now())));
	}

	private static void clearAllFaults(SimulatedDomain domain, List<Vm> vms) {
		domain.kv().setUnavailable(false);
		domain.kv().setReplyLossRate(0);
		domain.loseReplies(0);
		vms.forEach((vm) -> domain.partition(vm.id(), false));
	}

	/**
	 * The result of a run.
	 *
	 * @param violations descriptions of the rule violations in the history
	 * @param unfinished the ids, states and phases of the jobs that never ended
	 */
	record RunResult(List<String> violations, List<String> unfinished) {
	}

}
