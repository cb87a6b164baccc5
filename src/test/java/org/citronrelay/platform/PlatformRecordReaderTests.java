package org.citronrelay.platform;

import java.nio.charset.StandardCharsets;

import io.vavr.control.Either;
import org.citronrelay.Findings;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.VmRegistration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PlatformRecordReader}.
 */
class PlatformRecordReaderTests {

	private static final String WORKER = """
			{"service":"s","address":"10.0.0.9:8080","zone":"z","slots":8,"state":"ready","coldLeftMs":0,"born":5,
			"capacity":{"cpu":16000,"memMb":32768,"gpu":2},"labels":["a","r1-3"],"clockMs":9,"sequence":4}""";

	private final PlatformRecordReader reader = new PlatformRecordReader();

	@Test
	void allFieldsOfARegistrationAreRead() {
		// when
		VmRegistration registration = vm(WORKER).get();
		// then
		assertThat(registration.pool()).isEqualTo("s");
		assertThat(registration.boot()).isEqualTo(5);
		assertThat(registration.rack()).isEqualTo("r1-3");
		assertThat(registration.capacity().accelerators()).isEqualTo(2);
		assertThat(registration.draining()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "\"state\":\"ready\"|\"state\":\"asleep\"", "\"service\":\"s\"|\"service\":7",
			"\"born\":5|\"born\":\"five\"", "10.0.0.9:8080|nowhere", "\"cpu\":16000|\"cpu\":\"all\"",
			"\"sequence\":4|\"other\":4", "[\"a\",\"r1-3\"]|\"a\"" })
	void aRegistrationWithAMissingOrMistypedFieldIsRefused(String change) {
		String[] parts = change.split("\\|");
		assertThat(vm(WORKER.replace(parts[0], parts[1])).isLeft()).isTrue();
	}

	@Test
	void bytesThatAreNotJsonAreRefused() {
		assertThat(vm("\u0000\u0001").isLeft()).isTrue();
	}

	@Test
	void queuesTeamsAndKeysOfAConfigAreRead() {
		// given
		String config = """
				{"version":7,"routes":[{"name":"q","host":"h.example","prefix":"/a/","sloMs":250,"priority":0,
				"service":"s","maxAttempts":4,"slack":1.5},{"name":"p","host":"h.example","prefix":"/a/b/","service":"s",
				"anonymous":true}],"limits":{"maxBodyBytes":1000},
				"tenants":[{"name":"t","apiKeys":["k1","k2"],"guaranteed":{"gpu":48}}]}""";
		// when
		QueueCatalogue catalogue = this.reader.catalogue(config.getBytes(StandardCharsets.UTF_8)).get();
		// then
		assertThat(catalogue.version()).isEqualTo(7);
		assertThat(catalogue.route("H.example", "/a/b/c").get().queue().name()).isEqualTo("p");
		assertThat(catalogue.route("h.example", "/a/c").get().queue().slack()).isEqualTo(1.5);
		assertThat(catalogue.route("h.example", "/c")).isEmpty();
		assertThat(catalogue.teamsByKey()).containsEntry("k2", "t");
		assertThat(catalogue.teams().get("t").guaranteed()).isEqualTo(48);
	}

	private Either<Findings, VmRegistration> vm(String document) {
		return this.reader.vm("id", document.getBytes(StandardCharsets.UTF_8));
	}

}
