package org.citronrelay.build;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the scripts build the sources that are there, whatever an earlier build has
 * left behind. Maven and the JDK are replaced by small scripts.
 */
class BuildScriptsTests {

	private static final Path TOOLS = Path.of("src/test/resources/build-tools");

	private static final List<String> PRODUCT = List.of("target/citronrelay", "target/citronrelay.jar",
			"target/citronrelay.jsa", "target/runtime/bin/java");

	private static final Instant LONG_AGO = Instant.parse("2020-01-01T00:00:00Z");

	private static final Instant FAR_FUTURE = Instant.parse("2040-01-01T00:00:00Z");

	@TempDir
	private Path project;

	@BeforeEach
	void copyScripts() throws IOException {
		copyAll(Path.of("bin"), this.project.resolve("bin"));
		copyAll(TOOLS, this.project.resolve("jdk/bin"));
		write("pom.xml", "<project/>");
		write("src/launcher/citronrelay.sh", "#!/bin/sh");
		write("src/main/java/Program.java", "new program");
	}

	// Guards against running the program of an earlier version of the sources.
	@ParameterizedTest
	@MethodSource("buildCommands")
	void classesThatAreNewerThanTheirSourcesAreNotReused(List<String> command) throws Exception {
		leaveProduct("old program");
		age("src/main/java/Program.java", LONG_AGO);
		age("target/classes/Program.class", FAR_FUTURE);

		Result result = run(Map.of(), command);

		assertThat(result.exitCode()).as(result.output()).isZero();
		assertThat(read("target/classes/Program.class")).isEqualTo("new program");
		assertThat(read("target/citronrelay.jar")).isEqualTo("new program");
		assertThat(read("target/citronrelay")).isEqualTo("new program");
		assertThat(oldFiles("old program")).isEmpty();
	}

	// Guards against running the program of an earlier build after a build that failed.
	@ParameterizedTest
	@MethodSource("failures")
	void aBuildThatFailsLeavesNothingToRun(List<String> command, String failingTool) throws Exception {
		leaveProduct("old program");

		Result result = run(Map.of("FAILING_TOOL", failingTool), command);

		assertThat(result.exitCode()).as(result.output()).isNotZero();
		assertThat(PRODUCT).noneMatch((file) -> Files.exists(this.project.resolve(file)));
	}

	@ParameterizedTest
	@MethodSource("buildCommands")
	void sourcesThatDoNotCompileLeaveNothingToRun(List<String> command) throws Exception {
		leaveProduct("old program");
		write("src/main/java/Program.java", "does not compile");

		Result result = run(Map.of(), command);

		assertThat(result.exitCode()).as(result.output()).isNotZero();
		assertThat(PRODUCT).noneMatch((file) -> Files.exists(this.project.resolve(file)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "bin/deploy-build", "bin/test" })
	void theRuntimeAndTheArchiveAreMadeAnew(String script) throws Exception {
		leaveProduct("built on another kind of machine");

		Result result = run(Map.of(), List.of(script));

		assertThat(result.exitCode()).as(result.output()).isZero();
		assertThat(read("target/citronrelay.jsa")).isEqualTo("archive of new program");
		assertThat(read("target/runtime/bin/java")).isEqualTo(Files.readString(TOOLS.resolve("java")));
		assertThat(oldFiles("built on another kind of machine")).isEmpty();
	}

	@Test
	void aDeploymentBuildPrintsTheBuildThatItMade() throws Exception {
		Result result = run(Map.of(), List.of("bin/deploy-build"));

		assertThat(result.output()).contains("citronrelay built from new program");
	}

	@Test
	void filesOfOtherToolsInTheBuildFolderAreKept() throws Exception {
		write("target/bench/lock", "");
		write("target/review/Case.class", "case");

		run(Map.of(), List.of("bin/deploy-build"));

		assertThat(this.project.resolve("target/bench/lock")).exists();
		assertThat(this.project.resolve("target/review/Case.class")).exists();
	}

	@Test
	void theDemoProgramIsNotBuiltAgainForTheSameSources() throws Exception {
		run(Map.of(), List.of("bin/build"));
		age("src/main/java/Program.java", FAR_FUTURE);

		Result result = run(Map.of("FAILING_TOOL", "mvn"), List.of("bin/build"));

		assertThat(result.exitCode()).as(result.output()).isZero();
		assertThat(read("target/citronrelay")).isEqualTo("new program");
	}

	@Test
	void theDemoProgramIsNotBuiltAgainAfterADeploymentBuild() throws Exception {
		run(Map.of(), List.of("bin/deploy-build"));

		Result result = run(Map.of("FAILING_TOOL", "mvn"), List.of("bin/build"));

		assertThat(result.exitCode()).as(result.output()).isZero();
		assertThat(PRODUCT).allMatch((file) -> Files.exists(this.project.resolve(file)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "src/main/java/Program.java", "src/launcher/citronrelay.sh", "pom.xml" })
	void theDemoProgramIsBuiltAgainWhenAnInputHasChanged(String input) throws Exception {
		run(Map.of(), List.of("bin/build"));
		write(input, "changed");
		age(input, LONG_AGO);

		run(Map.of(), List.of("bin/build"));

		assertThat(read("target/surefire-reports/runs.txt")).isEqualTo("built\n");
		assertThat(read("target/citronrelay")).isEqualTo(read("src/main/java/Program.java"));
	}

	@Test
	void theDemoProgramIsBuiltAgainWhenItHasBeenReplaced() throws Exception {
		run(Map.of(), List.of("bin/build"));
		write("target/citronrelay", "half a prog");

		run(Map.of(), List.of("bin/build"));

		assertThat(read("target/citronrelay")).isEqualTo("new program");
	}

	private static Stream<List<String>> buildCommands() {
		return Stream.of(List.of("bin/deploy-build"), List.of("bin/build"), List.of("bin/test"),
				List.of("bin/soak", "--seeds", "1..2"));
	}

	private static Stream<Arguments> failures() {
		return Stream.concat(buildCommands().map((command) -> Arguments.of(command, "mvn")),
				Stream.of("jlink", "java").map((tool) -> Arguments.of(List.of("bin/deploy-build"), tool)));
	}

	/**
	 * Leaves the output of an earlier build behind.
	 */
	private void leaveProduct(String content) throws IOException {
		write("target/classes/Program.class", content);
		write("target/classes/Removed.class", content);
		for (String file : PRODUCT) {
			write(file, content);
			assertThat(this.project.resolve(file).toFile().setExecutable(true)).isTrue();
			age(file, FAR_FUTURE);
		}
	}

	private List<Path> oldFiles(String content) throws IOException {
		try (Stream<Path> files = Files.walk(this.project.resolve("target"))) {
			return files.filter(Files::isRegularFile).filter((file) -> contains(file, content)).toList();
		}
	}

	private static boolean contains(Path file, String content) {
		try {
			return Files.readString(file).contains(content);
		}
		catch (IOException ex) {
			throw new AssertionError(file + " cannot be read", ex);
		}
	}

	private Result run(Map<String, String> variables, List<String> command) throws Exception {
		Path output = this.project.resolve("output.txt");
		ProcessBuilder builder = new ProcessBuilder(
				Stream.concat(Stream.of("bash"), command.stream()).toArray(String[]::new))
			.directory(this.project.toFile())
			.redirectErrorStream(true)
			.redirectOutput(output.toFile());
		builder.environment().put("JAVA_HOME", this.project.resolve("jdk").toString());
		builder.environment()
			.merge("PATH", this.project.resolve("jdk/bin").toString(), (path, tools) -> tools + ":" + path);
		builder.environment().putAll(variables);
		Process process = builder.start();
		assertThat(process.waitFor(60, TimeUnit.SECONDS)).as("the script has ended").isTrue();
		return new Result(process.exitValue(), Files.readString(output));
	}

	private void write(String file, String content) throws IOException {
		Path path = this.project.resolve(file);
		Files.createDirectories(path.getParent());
		Files.writeString(path, content);
	}

	private String read(String file) throws IOException {
		return Files.readString(this.project.resolve(file));
	}

	private void age(String file, Instant time) throws IOException {
		Files.setLastModifiedTime(this.project.resolve(file), FileTime.from(time));
	}

	private static void copyAll(Path from, Path to) throws IOException {
		Files.createDirectories(to);
		for (String name : Arrays.asList(from.toFile().list())) {
			Path copy = Files.copy(from.resolve(name), to.resolve(name));
			assertThat(copy.toFile().setExecutable(true)).isTrue();
		}
	}

	/**
	 * How a script has ended.
	 *
	 * @param exitCode its exit code
	 * @param output what it has printed
	 */
	private record Result(int exitCode, String output) {

	}

}
