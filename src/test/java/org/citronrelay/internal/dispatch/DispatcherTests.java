package org.citronrelay.internal.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.citronrelay.Outcome;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.testing.Fixtures;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DispatcherTests {

	private static final long DEADLINE_MS = 5_000;

	private final AtomicLong now = new AtomicLong(1_000);

	private final Map<Address, AtomicInteger> sentByAddress = new ConcurrentHashMap<>();

	@Test
	void aLostAnswerOfANonIdempotentRequestIsUnknownAndNotSentAgain() {
		// given
		Dispatcher dispatcher = dispatcher((address) -> new AttemptResult.Ambiguous("cut"));

		// when
		Outcome outcome = dispatcher.send(request(false), this.now.get() + DEADLINE_MS);

		// then
		assertThat(outcome).isInstanceOf(Outcome.Unknown.class);
		assertThat(sent()).isEqualTo(1);
	}

	@Test
	void aLostAnswerOfAnIdempotentRequestIsTriedElsewhere() {
		// given
		AtomicInteger calls = new AtomicInteger();
		Dispatcher dispatcher = dispatcher(
				(address) -> (calls.getAndIncrement() == 0) ? new AttemptResult.Ambiguous("cut") : answered(200));

		// when
		Outcome outcome = dispatcher.send(request(true), this.now.get() + DEADLINE_MS);

		// then
		assertThat(outcome).isInstanceOf(Outcome.Done.class);
		assertThat(this.sentByAddress).hasSize(2);
	}

	@Test
	void aRequestThatCrashesEachWorkerReachesTwoAtMost() {
		// given
		Dispatcher dispatcher = dispatcher((address) -> new AttemptResult.Ambiguous("the connection was closed"));

		// when
		Outcome outcome = dispatcher.send(request(true), this.now.get() + DEADLINE_MS);

		// then
		assertThat(outcome).isInstanceOf(Outcome.Unknown.class);
		assertThat(sent()).isEqualTo(2);
	}

	@Test
	void aRequestThatEveryWorkerRefusesDidNotRun() {
		// given
		Dispatcher dispatcher = dispatcher((address) -> new AttemptResult.NotStarted("no slot", false, false));

		// when
		Outcome outcome = dispatcher.send(request(false), this.now.get() + DEADLINE_MS);

		// then
		assertThat(outcome).isInstanceOf(Outcome.NotRun.class);
	}

	@Test
	void aWorkerThatFailsEverythingLosesItsTraffic() {
		// given
		Address failing = Fixtures.vms("east", 8, 4).getFirst().address();
		Dispatcher dispatcher = dispatcher((address) -> address.equals(failing) ? answered(500) : answered(200));
		send(dispatcher, 400);
		int before = this.sentByAddress.get(failing).get();

		// when
		send(dispatcher, 400);

		// then
		assertThat(dispatcher.ejectedVms()).containsExactly("east-1");
		assertThat(this.sentByAddress.get(failing).get()).isEqualTo(before);
	}

	@Test
	void aDrainingWorkerReceivesNothingAfterItsFirstRefusal() {
		// given
		Address draining = Fixtures.vms("east", 8, 4).getFirst().address();
		Dispatcher dispatcher = dispatcher((address) -> address.equals(draining)
				? new AttemptResult.NotStarted("leaving", true, false) : answered(200));

		// when
		send(dispatcher, 400);

		// then
		assertThat(this.sentByAddress.get(draining)).hasValue(1);
	}

	@Test
	void whenAllWorkersFailRetriesStayWithinTheirBudget() {
		// given
		Dispatcher dispatcher = dispatcher((address) -> new AttemptResult.Ambiguous("cut"));

		// when
		send(dispatcher, 1_000);

		// then
		assertThat(sent()).isLessThan(1_250);
	}

	private void send(Dispatcher dispatcher, int count) {
		for (int number = 0; number < count; number++) {
			dispatcher.send(request(true), this.now.get() + DEADLINE_MS);
		}
	}

	private int sent() {
		return this.sentByAddress.values().stream().mapToInt(AtomicInteger::get).sum();
	}

	private Dispatcher dispatcher(java.util.function.Function<Address, AttemptResult> workers) {
		Dispatcher dispatcher = new Dispatcher((address, request, timeoutMs) -> {
			this.sentByAddress.computeIfAbsent(address, (key) -> new AtomicInteger()).incrementAndGet();
			return workers.apply(address);
		}, this.now::get, "east");
		dispatcher.updateVms(Fixtures.vms("east", 8, 4));
		return dispatcher;
	}

	private static BackendRequest request(boolean idempotent) {
		return new BackendRequest("id", "service", idempotent, "text/plain", new byte[0]);
	}

	private static AttemptResult answered(int status) {
		return new AttemptResult.Answered(HttpReply.text(status, "answer"));
	}

}
