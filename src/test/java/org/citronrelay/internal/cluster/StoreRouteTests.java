package org.citronrelay.internal.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.TimeLimit;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StoreRoute}.
 */
class StoreRouteTests {

	private static final Address STORE = new Address("10.0.0.1", 1);

	private static final TimeLimit LIMIT = TimeLimit.total(100);

	private static final HttpCall CALL = HttpCall.of("POST", "/write");

	private final Deque<Exchange> scriptedExchanges = new ArrayDeque<>();

	private final List<String> sentCalls = new ArrayList<>();

	private final Set<Address> calledPeers = new HashSet<>();

	private long now;

	/** Runs while a call is in progress. */
	private Runnable duringExchange = () -> {
	};

	private final StoreRoute route = new StoreRoute((to, call, timeoutMs) -> {
		if (!to.equals(STORE)) {
			this.calledPeers.add(to);
		}
		this.duringExchange.run();
		this.sentCalls.add((to.equals(STORE) ? "store " : "peer ") + call.path());
		return this.scriptedExchanges.pop();
	}, STORE, () -> List.of(new Address("10.0.0.2", 2), new Address("10.0.0.3", 3)), () -> this.now,
			new ClusterMetrics());

	@Test
	void aCallThatTheStoreRefusesGoesThroughAPeer() {
		// given
		this.scriptedExchanges.addAll(List.of(answered(503), answered(200)));
		// when
		Exchange exchange = this.route.exchange(CALL, LIMIT);
		// then
		assertThat(status(exchange)).isEqualTo(200);
		assertThat(this.sentCalls).containsExactly("store /write", "peer /relay/write");
	}

	@Test
	void aPeerThatRelayedACallIsTriedFirstForTheNext() {
		// given
		this.scriptedExchanges.add(answered(503));
		for (int call = 0; call < 20; call++) {
			this.scriptedExchanges.add(answered(200));
		}
		// when
		for (int call = 0; call < 20; call++) {
			this.route.exchange(CALL, LIMIT);
		}
		// then
		assertThat(this.calledPeers).hasSize(1);
	}

	@Test
	void aCallThatOnePeerMayHaveRelayedIsNotReportedAsUnsent() {
		// given
		this.scriptedExchanges.addAll(List.of(answered(503), new Exchange.Broken("no answer", true), notSent()));
		// then
		assertThat(this.route.exchange(CALL, LIMIT)).isInstanceOf(Exchange.Broken.class);
	}

	@Test
	void aCallThatAPeerSentWithoutAnAnswerIsNotReportedAsUnsent() {
		// given
		this.scriptedExchanges.addAll(List.of(notSent(), answered(504), answered(503)));
		// then
		assertThat(status(this.route.exchange(CALL, LIMIT))).isEqualTo(504);
	}

	@Test
	void aDirectCallWithoutAnAnswerIsNotReportedAsUnsentWhenNoPeerReachesTheStore() {
		// given
		this.scriptedExchanges.addAll(List.of(new Exchange.Broken("no answer", true), answered(503), notSent()));
		// then
		assertThat(this.route.exchange(CALL, LIMIT)).isInstanceOf(Exchange.Broken.class);
	}

	@Test
	void aCallThatWasRefusedDirectlyAndByPeersIsReportedAsUnsent() {
		// given
		this.scriptedExchanges.addAll(List.of(answered(429), answered(503), notSent()));
		// then
		assertThat(this.route.exchange(CALL, LIMIT)).isInstanceOf(Exchange.NotSent.class);
	}

	@Test
	void aProbeThatTheStoreAnswersRestoresTheDirectWayAtOnce() {
		// given a store that neither this process nor its peers reach
		this.scriptedExchanges.addAll(List.of(notSent(), answered(503), notSent()));
		this.route.exchange(CALL, LIMIT);
		assertThat(this.route.reachability().lost()).isTrue();
		assertThat(this.route.directWayAvoided()).isTrue();
		// when
		this.scriptedExchanges.addAll(List.of(answered(404), answered(200)));
		this.route.probeDirectly(CALL, LIMIT);
		// then
		assertThat(this.route.reachability().lost()).isFalse();
		assertThat(status(this.route.exchange(CALL, LIMIT))).isEqualTo(200);
		assertThat(this.sentCalls).endsWith("store /write", "store /write");
	}

	@Test
	void aCallThatBeganBeforeTheLastAnswerSaysNothingAboutThePresent() {
		// given a watch that fails on every way only after another call was answered
		this.duringExchange = () -> {
			this.duringExchange = () -> {
			};
			this.now = 10;
			this.scriptedExchanges.addFirst(answered(200));
			this.route.exchange(CALL, LIMIT);
		};
		this.scriptedExchanges.addAll(List.of(notSent(), answered(503), notSent()));
		// when
		Exchange watch = this.route.exchange(HttpCall.of("GET", "/watch"), LIMIT);
		// then
		assertThat(watch).isInstanceOf(Exchange.NotSent.class);
		assertThat(this.route.reachability().lost()).isFalse();
		assertThat(this.route.directWayAvoided()).isFalse();
	}

	@Test
	void aProcessIsIsolatedOnceItsPeersDoNotAnswerProbes() {
		// given
		this.scriptedExchanges.addAll(List.of(notSent(), notSent(), notSent()));
		this.route.exchange(CALL, LIMIT);
		// when
		for (int probe = 0; probe < 4; probe++) {
			this.scriptedExchanges.add(notSent());
			this.route.probePeer(CALL, LIMIT);
		}
		// then
		assertThat(this.route.reachability().isolated()).isTrue();
	}

	@Test
	void aPeerThatReachesTheStoreEndsTheLoss() {
		// given
		this.scriptedExchanges.addAll(List.of(notSent(), notSent(), notSent()));
		this.route.exchange(CALL, LIMIT);
		// when
		this.scriptedExchanges.add(answered(404));
		this.route.probePeer(CALL, LIMIT);
		// then
		assertThat(this.route.reachability().lost()).isFalse();
	}

	@Test
	void theAnswerToAPeerTellsWhetherTheCallMayHaveTakenEffect() {
		// given
		HttpCall relayed = HttpCall.of("POST", "/relay/write");
		this.scriptedExchanges.addAll(List.of(new Exchange.Broken("no answer", true), notSent(), answered(412)));
		// then
		assertThat(this.route.relayForPeer(relayed, LIMIT).status()).isEqualTo(504);
		assertThat(this.route.relayForPeer(relayed, LIMIT).status()).isEqualTo(503);
		assertThat(this.route.relayForPeer(relayed, LIMIT).status()).isEqualTo(412);
		assertThat(this.sentCalls).containsOnly("store /write");
	}

	private static Exchange answered(int status) {
		return new Exchange.Answered(new HttpReply(status, Map.of(), new byte[0]));
	}

	private static Exchange notSent() {
		return new Exchange.NotSent("no connection");
	}

	private static int status(Exchange exchange) {
		return (exchange instanceof Exchange.Answered answered) ? answered.reply().status() : 0;
	}

}
