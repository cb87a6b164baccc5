package org.citronrelay.internal.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.citronrelay.internal.build.BuildInfo;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Program}.
 */
class ProgramTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private final Program program = new Program(new PrintStream(this.out, true, StandardCharsets.UTF_8),
			new PrintStream(this.err, true, StandardCharsets.UTF_8));

	// Guards against a program whose sources nobody can tell.
	@ParameterizedTest
	@ValueSource(strings = { "--version", "version" })
	void theVersionNamesTheBuild(String argument) {
		int code = this.program.run(argument);

		assertThat(code).as(text(this.err)).isZero();
		assertThat(text(this.out)).isEqualTo("citronrelay " + BuildInfo.ofThisProcess() + System.lineSeparator());
	}

	@Test
	void theVersionIsAvailableAsJson() {
		int code = this.program.run("--version", "--output", "json");

		assertThat(code).as(text(this.err)).isZero();
		assertThat(text(this.out)).contains("\"build\" : \"unpackaged\"");
	}

	private static String text(ByteArrayOutputStream stream) {
		return stream.toString(StandardCharsets.UTF_8);
	}

}
