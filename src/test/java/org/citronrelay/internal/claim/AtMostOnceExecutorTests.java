package org.citronrelay.internal.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Option;
import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;
import org.citronrelay.internal.claim.AtMostOnceExecutor.ClaimPeers;
import org.citronrelay.internal.standin.KvStore;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;
import org.citronrelay.testing.AtMostOnceHistory;
import org.citronrelay.testing.FaultyKeyValueService;
import org.citronrelay.testing.Fixtures;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests claims by several entry processes at once, with lost replies, outages, processes
 * that fail, and a key-value service that is restored from an older copy.
 */
class AtMostOnceExecutorTests {

	private static final int CALLERS = 12;

	private static final int KEYS = 4;

	private static final long DEADLINE_MS = 2_000;

	private final KvStore store = new KvStore();

	private final Ticker ticker = Ticker.system();

	static List<Long> seeds() {
		return Fixtures.seeds(200);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void aKeyRunsAtMostOnceAndNotRunIsTrue(long seed) throws Exception {
		// given
		FaultyKeyValueService kv = new FaultyKeyValueService(this.store, this.ticker::millis,
				new SplittableRandom(seed + 1));

		// when
		AtMostOnceHistory history = run(seed, kv);

		// then
		assertThat(history.findViolations()).isEmpty();
	}

	@Test
	void theHistoryCheckFailsWithoutCompareAndSwap() throws Exception {
		// given
		List<Long> failingSeeds = new ArrayList<>();

		// when
		for (long seed = 1; seed <= 50; seed++) {
			FaultyKeyValueService kv = new FaultyKeyValueService(new KvStore(), this.ticker::millis,
					new SplittableRandom(seed + 1));
			kv.ignoreExpectations();
			if (!run(seed, kv).findViolations().isEmpty()) {
				failingSeeds.add(seed);
			}
		}

		// then
		assertThat(failingSeeds).isNotEmpty();
	}

	@Test
	void theSameKeyGivesTheSameAnswerAtEveryEntryProcess() {
		// given
		Network network = new Network();
		FaultyKeyValueService kv = new FaultyKeyValueService(this.store, this.ticker::millis, new SplittableRandom(1));
		AtMostOnceExecutor first = network.add("first", kv);
		AtMostOnceExecutor second = network.add("second", kv);
		AtomicInteger runs = new AtomicInteger();

		// when
		Outcome answer = first.runOnce("key", "digest", deadline(), () -> done(runs.incrementAndGet()));
		Outcome again = second.runOnce("key", "digest", deadline(), () -> done(runs.incrementAndGet()));

		// then
		assertThat(runs).hasValue(1);
		assertThat(((Outcome.Done) again).body()).isEqualTo(((Outcome.Done) answer).body());
	}

	@Test
	void aKeyUsedForAnotherBodyIsRefused() {
		// given
		Network network = new Network();
		FaultyKeyValueService kv = new FaultyKeyValueService(this.store, this.ticker::millis, new SplittableRandom(1));
		AtMostOnceExecutor first = network.add("first", kv);
		AtMostOnceExecutor second = network.add("second", kv);
		first.runOnce("key", "digest", deadline(), () -> done(1));

		// when
		Outcome other = second.runOnce("key", "another digest", deadline(), () -> done(2));

		// then
		assertThat(other).isInstanceOfSatisfying(Outcome.NotRun.class,
				(notRun) -> assertThat(notRun.cause()).isEqualTo(NotRunCause.KEY_REUSED));
	}

	@Test
	void aKeyWhoseEntryProcessDiedIsUnknownAndNeverRunsAgain() {
		// given
		Network network = new Network();
		FaultyKeyValueService kv = new FaultyKeyValueService(this.store, this.ticker::millis, new SplittableRandom(1));
		AtMostOnceExecutor first = network.add("first", kv);
		AtMostOnceExecutor second = network.add("second", kv);
		network.copyOutcomes = false;
		first.runOnce("key", "digest", deadline(), () -> done(1));
		network.kill("first");
		AtomicInteger runs = new AtomicInteger();

		// when
		Outcome again = second.runOnce("key", "digest", deadline(), () -> done(runs.incrementAndGet()));

		// then
		assertThat(again).isInstanceOf(Outcome.Unknown.class);
		assertThat(runs).hasValue(0);
	}

	@Test
	void whileTheKeyValueServiceIsDownNothingIsRun() {
		// given
		FaultyKeyValueService kv = new FaultyKeyValueService(this.store, this.ticker::millis, new SplittableRandom(1));
		AtMostOnceExecutor executor = new Network().add("only", kv);
		kv.setUnavailable(true);
		AtomicInteger runs = new AtomicInteger();

		// when
		Outcome outcome = executor.runOnce("key", "digest", deadline(), () -> done(runs.incrementAndGet()));

		// then
		assertThat(outcome).isInstanceOfSatisfying(Outcome.NotRun.class,
				(notRun) -> assertThat(notRun.cause()).isEqualTo(NotRunCause.PLATFORM));
		assertThat(runs).hasValue(0);
	}

	@Test
	void aKeyDoesNotRunAgainAfterTheKeyValueServiceIsRestoredFromABackup() {
		// given
		Network network = new Network();
		FaultyKeyValueService kv = new FaultyKeyValueService(this.store, this.ticker::millis, new SplittableRandom(1));
		AtMostOnceExecutor first = network.add("first", kv);
		AtMostOnceExecutor second = network.add("second", kv);
		second.runOnce("warm-up", "digest", deadline(), () -> done(0));
		this.store.backUp();
		first.runOnce("key", "digest", deadline(), () -> done(1));
		second.runOnce("later", "digest", deadline(), () -> done(2));
		this.store.restore();
		AtomicInteger runs = new AtomicInteger();

		// when
		Outcome again = second.runOnce("key", "digest", deadline(), () -> done(runs.incrementAndGet()));

		// then
		assertThat(runs).hasValue(0);
		assertThat(again).isInstanceOf(Outcome.Done.class);
	}

	@Test
	void aRequestCostsOneWriteOnceTheLeaseIsGranted() {
		// given
		FaultyKeyValueService kv = new FaultyKeyValueService(this.store, this.ticker::millis, new SplittableRandom(1));
		AtMostOnceExecutor executor = new Network().add("only", kv);
		executor.runOnce("first", "digest", deadline(), () -> done(0));
		int before = kv.mutationCount();

		// when
		for (int number = 0; number < 100; number++) {
			executor.runOnce("key-" + number, "digest", deadline(), () -> done(1));
		}

		// then
		assertThat(kv.mutationCount() - before).isEqualTo(100);
	}

	@Test
	void concurrentRequestsCostOneWriteEach() throws Exception {
		// given
		FaultyKeyValueService kv = new FaultyKeyValueService(this.store, this.ticker::millis, new SplittableRandom(1));
		AtMostOnceExecutor executor = new Network().add("only", kv);
		executor.runOnce("first", "digest", deadline(), () -> done(0));
		int before = kv.mutationCount();

		// when
		try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
			List<Future<Outcome>> calls = new ArrayList<>();
			for (int number = 0; number < 2_000; number++) {
				String key = "key-" + number;
				calls.add(callers.submit(() -> executor.runOnce(key, "digest", deadline(), () -> done(1))));
			}
			for (Future<Outcome> call : calls) {
				call.get();
			}
		}

		// then
		assertThat(kv.mutationCount() - before).isEqualTo(2_000);
	}

	private AtMostOnceHistory run(long seed, FaultyKeyValueService kv) throws Exception {
		SplittableRandom random = new SplittableRandom(seed);
		kv.setReplyLossRate(random.nextDouble() * 0.6);
		Network network = new Network();
		List<AtMostOnceExecutor> executors = new ArrayList<>();
		for (int entry = 0; entry < 3; entry++) {
			executors.add(network.add("entry-" + entry, kv));
		}
		AtMostOnceHistory history = new AtMostOnceHistory();
		try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
			List<Future<?>> calls = new ArrayList<>();
			for (int call = 0; call < CALLERS * 2; call++) {
				SplittableRandom callRandom = random.split();
				calls.add(callers.submit(() -> call(callRandom, executors, kv, network, history)));
			}
			for (Future<?> call : calls) {
				call.get();
			}
		}
		return history;
	}

	private void call(SplittableRandom random, List<AtMostOnceExecutor> executors, FaultyKeyValueService kv,
			Network network, AtMostOnceHistory history) {
		int entry = random.nextInt(executors.size());
		String key = "key-" + random.nextInt(KEYS);
		switch (random.nextInt(10)) {
			case 0 -> kv.setUnavailable(true);
			case 1 -> network.kill("entry-" + random.nextInt(executors.size()));
			default -> kv.setUnavailable(false);
		}
		int call = history.recordInvocation(key);
		Outcome outcome = executors.get(entry).runOnce(key, "digest", this.ticker.millis() + DEADLINE_MS, () -> {
			history.recordRun(key, call);
			Pause.millis(random.nextInt(3));
			return (random.nextInt(4) == 0) ? new Outcome.Unknown("lost") : done(call);
		});
		history.recordOutcome(key, call, outcome);
	}

	private long deadline() {
		return this.ticker.millis() + DEADLINE_MS;
	}

	private static Outcome done(int number) {
		return new Outcome.Done(200, Map.of(), new byte[] { (byte) number });
	}

	/**
	 * The connections between the entry processes of a test.
	 */
	private final class Network {

		private final Map<String, AtMostOnceExecutor> executors = new ConcurrentHashMap<>();

		private final Map<String, OutcomeLedger> ledgers = new ConcurrentHashMap<>();

		private volatile boolean copyOutcomes = true;

		AtMostOnceExecutor add(String process, FaultyKeyValueService kv) {
			OutcomeLedger ledger = new OutcomeLedger(1_000_000);
			AtMostOnceExecutor executor = new AtMostOnceExecutor(kv, ledger, new PeersOf(process),
					AtMostOnceExecutorTests.this.ticker, process);
			this.executors.put(process, executor);
			this.ledgers.put(process, ledger);
			return executor;
		}

		/**
		 * Makes a process unreachable to its peers.
		 */
		void kill(String process) {
			this.executors.remove(process);
			this.ledgers.remove(process);
		}

		private final class PeersOf implements ClaimPeers {

			private final String self;

			PeersOf(String self) {
				this.self = self;
			}

			@Override
			public Outcome outcome(String key, Claim claim, long waitMs) {
				AtMostOnceExecutor owner = Network.this.executors.get(claim.process());
				if (owner != null) {
					return owner.answerPeer(claim.id(), AtMostOnceExecutorTests.this.ticker.millis() + waitMs);
				}
				return Network.this.executors.values()
					.stream()
					.map((executor) -> executor.answerPeer(claim.id(), 0))
					.filter((outcome) -> !(outcome instanceof Outcome.Unknown))
					.findFirst()
					.orElse(new Outcome.Unknown("cannot be reached"));
			}

			@Override
			public void replicate(String key, Claim claim, Outcome outcome) {
				if (Network.this.copyOutcomes) {
					Network.this.ledgers.forEach((process, ledger) -> {
						if (!process.equals(this.self)) {
							ledger.complete(key, claim, outcome);
						}
					});
				}
			}

			@Override
			public Option<Claim> claimOf(String key) {
				return Option.ofOptional(Network.this.ledgers.entrySet()
					.stream()
					.filter((ledger) -> !ledger.getKey().equals(this.self))
					.flatMap((ledger) -> ledger.getValue().latest(key).toJavaStream())
					.filter((entry) -> !entry.confirmedNotRun())
					.map(OutcomeLedger.Entry::claim)
					.findFirst());
			}

		}

	}

}
