package org.citronrelay.internal.build;

import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of {@link BuildInfo}.
 */
class BuildInfoTests {

	@TempDir
	private Path folder;

	@Test
	void theDigestIsThatOfTheProgramFile() throws Exception {
		String content = "a program of more than one buffer ".repeat(5_000);
		Path program = Files.writeString(this.folder.resolve("program.jar"), content);

		assertThat(BuildInfo.digest(program)).isEqualTo(CatalogueVersion.sha256(content).substring(0, 12));
	}

	@Test
	void aProgramThatRunsFromClassFilesHasNoDigest() throws Exception {
		assertThat(BuildInfo.digest(this.folder)).isEqualTo(BuildInfo.UNPACKAGED);
		assertThat(BuildInfo.ofThisProcess().digest()).isEqualTo(BuildInfo.UNPACKAGED);
	}

	@Test
	void theMetricHasTheVersionAndTheDigest() {
		PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

		new BuildInfo("1.2.3", "0123456789ab").register(registry);

		assertThat(registry.scrape()).contains("citronrelay_build{build=\"0123456789ab\",version=\"1.2.3\"} 1.0");
	}

	@Test
	void aMissingProgramFileIsReported() {
		assertThatExceptionOfType(NoSuchFileException.class)
			.isThrownBy(() -> BuildInfo.digest(this.folder.resolve("missing.jar")));
	}

}
