package org.citronrelay.internal.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntrySettingsTests {

	@Test
	void allErrorsOfADocumentAreReportedTogetherWithTheirPointers() {
		// given
		byte[] document = """
				{"failureDomain":"Montreal","http":"nowhere","peers":"127.0.0.1:8081","keyValue":"127.0.0.1:8090",
				"limits":{"bodyBytes":-1},"timings":{"lostAfterMs":300},"colour":"green"}"""
			.getBytes(StandardCharsets.UTF_8);

		// when
		var settings = EntrySettings.read(document);

		// then
		assertThat(settings.getLeft().list()).extracting("pointer")
			.containsExactlyInAnyOrder("/failureDomain", "/http", "/vmList", "/limits/bodyBytes",
					"/timings/lostAfterMs", "/colour");
	}

	@Test
	void malformedJsonIsReportedWithItsLineNumber() {
		assertThat(EntrySettings.read("{".getBytes(StandardCharsets.UTF_8)).getLeft().text()).contains("line 1");
	}

	@Test
	void theSettingsOfTheExamplesAreValid() {
		for (String example : List.of("association", "wheelcare")) {
			assertThat(EntrySettings.read(Path.of("examples", example, "entry.json")).isRight()).isTrue();
		}
	}

	@Test
	void everySettingIsDocumentedForOperators() throws IOException {
		// given
		String page = Files.readString(Path.of("docs", "OPERATIONS.md"));
		String source = Files.readString(Path.of("src/main/java/org/citronrelay/internal/settings/EntrySettings.java"));

		// when
		List<String> keys = java.util.regex.Pattern.compile("cursor\\.\\w+\\(\"(\\w+)\"|address\\(cursor, \"(\\w+)\"")
			.matcher(source)
			.results()
			.map((match) -> (match.group(1) != null) ? match.group(1) : match.group(2))
			.toList();

		// then
		assertThat(keys).hasSizeGreaterThan(15).allSatisfy((key) -> assertThat(page).contains(key));
	}

}
