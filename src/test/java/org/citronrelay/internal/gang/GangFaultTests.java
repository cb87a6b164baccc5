package org.citronrelay.internal.gang;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.testing.Fixtures;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Gangs under seeded faults in virtual time: cuts, kills, lost replies, outages of the
 * key-value service, and holders that are paused and replaced.
 */
class GangFaultTests {

	static List<Long> seeds() {
		return Fixtures.seeds(300);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void gangsRunWholeOrNotAtAllUnderAnyMixOfFaults(long seed) {
		// given
		VirtualDomain domain = new VirtualDomain(seed, Fixtures.catalogue(), GangFaults.vms());

		// when
		GangFaults.Verdict verdict = GangFaults.run(domain);

		// then
		assertThat(verdict.violations()).isEmpty();
		assertThat(domain.broken()).isEmpty();
		assertThat(verdict.open()).as("jobs that never ended").isEmpty();
	}

	@Test
	void theCheckGoesRedWhenWorkersDoNotCompareEpochs() {
		// given
		List<Long> red = new ArrayList<>();

		// when
		for (long seed = 1; seed <= 50; seed++) {
			VirtualDomain domain = new VirtualDomain(seed, Fixtures.catalogue(), GangFaults.vms());
			domain.ignoreEpochs();
			if (!GangFaults.run(domain).violations().isEmpty()) {
				red.add(seed);
			}
		}

		// then
		assertThat(red).isNotEmpty();
	}

}
