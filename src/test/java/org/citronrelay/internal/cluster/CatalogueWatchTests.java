package org.citronrelay.internal.cluster;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.awaitility.Awaitility;
import org.citronrelay.Findings;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.VmRegistration;
import org.citronrelay.internal.cluster.ClusterStore.Put;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CatalogueWatch}.
 */
class CatalogueWatchTests {

	private static final String KEY = "catalogue";

	private final InMemoryClusterStore store = new InMemoryClusterStore();

	/**
	 * Lets watches wait as those of a real store do. Otherwise the watches that outlive a
	 * test would turn without a pause.
	 */
	@BeforeEach
	void letWatchesWait() {
		this.store.hideChanges(true);
	}

	@Test
	void aKeyThatWasWithdrawnIsNotKnownAfterARestart() {
		// given a process that knew the key
		write("1 old-key");
		CatalogueWatch before = start();
		Awaitility.await()
			.atMost(Duration.ofSeconds(20))
			.until(() -> before.current().teamsByKey().containsKey("old-key"));
		// when the key is withdrawn, and the process restarts
		write("2 new-key");
		CatalogueWatch after = start();
		// then it knows no key until it has read the present catalogue
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> after.current().version() > 0);
		assertThat(after.current().teamsByKey()).containsOnlyKeys("new-key");
	}

	@Test
	void aCatalogueThatCannotBeReadLeavesThePreviousOneInEffect() {
		// given
		write("1 key");
		CatalogueWatch watch = start();
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> watch.current().version() == 1);
		// when
		write("unreadable");
		write("3 key");
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> watch.current().version() == 3);
	}

	@Test
	void anOlderVersionNeverReplacesANewerOne() {
		// given
		write("5 key");
		CatalogueWatch watch = start();
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> watch.current().version() == 5);
		// when an older version is written, and then a newer one
		write("4 old-key");
		write("6 key");
		// then
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> watch.current().version() == 6);
		assertThat(watch.current().teamsByKey()).containsOnlyKeys("key");
	}

	private CatalogueWatch start() {
		CatalogueWatch watch = new CatalogueWatch(this.store, new TextRecordReader());
		watch.start();
		return watch;
	}

	private void write(String value) {
		this.store.transact(new Transaction(Map.of(), List.of(new Put(KEY, value.getBytes(StandardCharsets.UTF_8), "")),
				List.of()));
	}

	/**
	 * Reads catalogues that consist of a version and one key.
	 */
	private static final class TextRecordReader implements ExternalRecordReader {

		@Override
		public String catalogueKey() {
			return KEY;
		}

		@Override
		public Either<Findings, QueueCatalogue> catalogue(byte[] document) {
			String[] parts = new String(document, StandardCharsets.UTF_8).split(" ");
			return Either.right(
					new QueueCatalogue(Long.parseLong(parts[0]), List.of(), Map.of(), Map.of(parts[1], "team"), 1_000));
		}

		@Override
		public String vmPrefix() {
			return "vm/";
		}

		@Override
		public Either<Findings, VmRegistration> vm(String id, byte[] document) {
			return Either.left(Findings.of("", id, "nothing"));
		}

	}

}
