package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.testing.Fixtures;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of gangs under seeded faults in virtual time: network partitions, worker
 * restarts, lost replies, outages of the key-value service, and holders that are replaced
 * while they are paused.
 */
class GangFaultTests {

	static List<Long> seeds() {
		return Fixtures.seeds(300);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void gangsRunCompletelyOrNotAtAllUnderRandomFaults(long seed) {
		// given
		SimulatedDomain domain = new SimulatedDomain(seed, Fixtures.catalogue(), GangFaultScenario.vms());

		// when
		GangFaultScenario.RunResult result = GangFaultScenario.run(domain);

		// then
		assertThat(result.violations()).isEmpty();
		assertThat(domain.guaranteeViolations()).isEmpty();
		assertThat(result.unfinished()).as("jobs that never ended").isEmpty();
	}

	@Test
	void theCheckFailsWhenWorkersDoNotCompareEpochs() {
		// given
		List<Long> failingSeeds = new ArrayList<>();

		// when
		for (long seed = 1; seed <= 50; seed++) {
			SimulatedDomain domain = new SimulatedDomain(seed, Fixtures.catalogue(), GangFaultScenario.vms());
			domain.ignoreEpochs();
			if (!GangFaultScenario.run(domain).violations().isEmpty()) {
				failingSeeds.add(seed);
			}
		}

		// then
		assertThat(failingSeeds).isNotEmpty();
	}

}
