package org.citronrelay.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Passes over exactly the tests that KNOWN-RED.txt names in lines of the form
 * {@code test: Class#method}. {@code -Dknown.red=run} runs them too.
 */
public final class KnownRedCondition implements ExecutionCondition {

	private static final String PREFIX = "test: ";

	private static final List<String> KNOWN_RED = read(Path.of("KNOWN-RED.txt"));

	@Override
	public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
		String test = context.getTestClass().map(Class::getSimpleName).orElse("") + "#"
				+ context.getTestMethod().map((method) -> method.getName()).orElse("");
		if (KNOWN_RED.contains(test) && !"run".equals(System.getProperty("known.red"))) {
			return ConditionEvaluationResult.disabled(test + " is listed in KNOWN-RED.txt");
		}
		return ConditionEvaluationResult.enabled("not listed in KNOWN-RED.txt");
	}

	private static List<String> read(Path file) {
		try {
			return Files.exists(file) ? Files.readAllLines(file)
				.stream()
				.map(String::strip)
				.filter((line) -> line.startsWith(PREFIX))
				.map((line) -> line.substring(PREFIX.length()).strip())
				.toList() : List.of();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
