package org.citronrelay.internal.catalogue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.citronrelay.Catalogue;
import org.citronrelay.Findings;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.standin.KvStore;
import org.citronrelay.testing.FaultyKeyValueService;
import org.citronrelay.testing.Fixtures;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests changes to the catalogue by concurrent operators, with lost replies of the
 * key-value service, and after that service was restored from a backup.
 */
class CatalogueStoreTests {

	private static final int OPERATORS = 4;

	private final KvStore store = new KvStore();

	static List<Long> seeds() {
		return Fixtures.seeds(100);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void atMostOneOfSeveralConcurrentChangesToTheSameBaseIsAccepted(long seed) throws Exception {
		// given
		FaultyKeyValueService kv = kv(seed);
		kv.setReplyLossRate(new SplittableRandom(seed).nextDouble() * 0.4);

		// when
		List<ApplyResult> results = applyConcurrently(kv);

		// then
		long accepted = results.stream().filter(ApplyResult.Accepted.class::isInstance).count();
		long unknown = results.stream().filter(ApplyResult.Unknown.class::isInstance).count();
		kv.setReplyLossRate(0);
		AppliedCatalogue restarted = new AppliedCatalogue();
		new CatalogueStore(kv, restarted, CatalogueStoreTests::noFindings).refresh();
		assertThat(accepted).isLessThanOrEqualTo(1);
		if (accepted == 1) {
			ApplyResult.Accepted acceptedResult = results.stream()
				.filter(ApplyResult.Accepted.class::isInstance)
				.map(ApplyResult.Accepted.class::cast)
				.findFirst()
				.orElseThrow();
			assertThat(restarted.current()).isEqualTo(acceptedResult.version());
		}
		if (unknown == 0 && accepted == 0) {
			assertThat(restarted.current().number()).isZero();
		}
	}

	@Test
	void aChangeOnAnOutdatedBaseIsRejectedWithTheConflictingEntries() {
		// given
		FaultyKeyValueService kv = kv(1);
		CatalogueStore first = store(kv);
		CatalogueStore second = store(kv);
		first.apply(document("alpha", 50), 0, "one", 0);
		second.refresh();
		first.apply(document("alpha", 60), 1, "one", 0);

		// when
		ApplyResult result = second.apply(document("alpha", 70), 1, "two", 0);

		// then
		assertThat(result).isInstanceOfSatisfying(ApplyResult.Conflicting.class, (conflict) -> {
			assertThat(conflict.headNumber()).isEqualTo(2);
			assertThat(conflict.conflictingEntries()).containsExactly("Team/alpha");
		});
	}

	@Test
	void anAcceptedChangeIsRestoredAfterTheServiceWasRestoredFromABackup() {
		// given
		FaultyKeyValueService kv = kv(1);
		AppliedCatalogue applied = new AppliedCatalogue();
		CatalogueStore operator = new CatalogueStore(kv, applied, CatalogueStoreTests::noFindings);
		operator.apply(document("alpha", 50), 0, "one", 0);
		this.store.backUp();
		operator.apply(document("alpha", 60), 1, "one", 0);
		this.store.restore();

		// when
		operator.refresh();
		AppliedCatalogue restarted = new AppliedCatalogue();
		new CatalogueStore(kv, restarted, CatalogueStoreTests::noFindings).refresh();

		// then
		assertThat(applied.current().number()).isEqualTo(2);
		assertThat(restarted.current()).isEqualTo(applied.current());
	}

	@Test
	void anEntryRecreatedUnderItsOldNameGetsANewId() {
		// given
		CatalogueStore operator = store(kv(1));
		String firstId = idOf(operator.apply(document("alpha", 50), 0, "one", 0));
		operator.apply(document("beta", 50), 1, "one", 0);

		// when
		String secondId = idOf(operator.apply(document("alpha", 50), 2, "one", 0));

		// then
		assertThat(secondId).isNotEqualTo(firstId);
	}

	@Test
	void anExportedCatalogueCanBeAppliedToAnEmptyStore() {
		// given
		CatalogueStore old = store(kv(1));
		Catalogue exported = ((ApplyResult.Accepted) old.apply(document("alpha", 50), 0, "old", 0)).version()
			.catalogue();
		FaultyKeyValueService empty = new FaultyKeyValueService(new KvStore(), () -> 0, new SplittableRandom(1));

		// when
		ApplyResult imported = store(empty).apply(Json.bytes(CatalogueWriter.write(exported)), 0, "new", 0);

		// then
		assertThat(((ApplyResult.Accepted) imported).version().catalogue()).isEqualTo(exported);
	}

	@Test
	void allErrorsOfADocumentAreReportedTogetherWithTheirPointers() {
		// when
		ApplyResult result = store(kv(1)).apply("""
				{"deployment":"test","classes":[],"teams":[
				{"name":"a","owner":"o","class":"none","limits":{"requestsInProgress":-1,"jobs":1,"accelerators":1}},
				{"name":"a","owner":"o","class":"none","limits":{"requestsInProgress":1,"jobs":1,"accelerators":1}}],
				"colour":"green"}""".getBytes(StandardCharsets.UTF_8), 0, "one", 0);

		// then
		assertThat(result).isInstanceOfSatisfying(ApplyResult.Invalid.class,
				(invalid) -> assertThat(invalid.findings().list()).extracting("pointer")
					.contains("/teams/0/limits/requestsInProgress", "/teams/1/name", "/teams/0/class", "/colour"));
	}

	private List<ApplyResult> applyConcurrently(FaultyKeyValueService kv) throws Exception {
		List<ApplyResult> results = new ArrayList<>();
		try (ExecutorService operators = Executors.newFixedThreadPool(OPERATORS)) {
			List<Future<ApplyResult>> calls = new ArrayList<>();
			for (int operator = 0; operator < OPERATORS; operator++) {
				byte[] document = document("alpha", 50 + operator);
				String author = "operator-" + operator;
				calls.add(operators.submit(() -> store(kv).apply(document, 0, author, 0)));
			}
			for (Future<ApplyResult> call : calls) {
				results.add(call.get());
			}
		}
		return results;
	}

	private FaultyKeyValueService kv(long seed) {
		return new FaultyKeyValueService(this.store, () -> 0, new SplittableRandom(seed));
	}

	private static CatalogueStore store(FaultyKeyValueService kv) {
		return new CatalogueStore(kv, new AppliedCatalogue(), CatalogueStoreTests::noFindings);
	}

	private static Findings noFindings(Catalogue catalogue) {
		return new Findings(List.of());
	}

	private static String idOf(ApplyResult result) {
		return ((ApplyResult.Accepted) result).version().catalogue().teams().getFirst().id();
	}

	private static byte[] document(String team, int jobs) {
		return """
				{"deployment":"test","classes":[{"name":"bulk","owner":"o","priority":1,"limits":{"queueWaitMs":1}}],
				"teams":[{"name":"%s","owner":"o","class":"bulk",
				"limits":{"requestsInProgress":1,"jobs":%d,"accelerators":1}}]}
				""".formatted(team, jobs).getBytes(StandardCharsets.UTF_8);
	}

}
