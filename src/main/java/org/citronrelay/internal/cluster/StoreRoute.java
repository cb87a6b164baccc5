package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.http.TimeLimit;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.time.Ticker;

/**
 * Sends calls to the store: directly, and through a peer while the store cannot be
 * reached from this machine or refuses it. All calls to the store may be repeated,
 * because writes carry conditions.
 */
public final class StoreRoute {

	/** The path prefix of a call that a peer is to forward to the store. */
	static final String RELAY = "/relay";

	/**
	 * How long calls go through peers only after a direct call failed, in milliseconds.
	 */
	private static final long DIRECT_RETRY_MS = 1_000;

	/** The header of a relayed call that has its {@link TimeLimit#answerMs}. */
	private static final String ANSWER_LIMIT = "Relay-Answer-Ms";

	/** Added to the time limit of a call that goes through a peer, in milliseconds. */
	private static final long RELAY_OVERHEAD_MS = 100;

	/** The longest time that a peer may let a call wait at the store, in milliseconds. */
	private static final long MAX_ANSWER_MS = 60_000;

	/**
	 * How many peers are tried for one call, the second only if the first failed within
	 * the time limit.
	 */
	private static final int MAX_PEERS_PER_CALL = 2;

	private static final int TOO_MANY = 429;

	private static final int SERVER_FAULT = 500;

	private static final int UNAVAILABLE = 503;

	private static final int TIMED_OUT = 504;

	private final Transport transport;

	private final Address store;

	private final Supplier<List<Address>> peers;

	private final Ticker ticker;

	private final ClusterMetrics metrics;

	private volatile long retryDirectAt = Long.MIN_VALUE;

	/**
	 * When the store last answered, directly or through a peer, in monotonic
	 * milliseconds.
	 */
	private volatile long answeredAt = Long.MIN_VALUE;

	private final AtomicReference<StoreReachability> reachability = new AtomicReference<>(StoreReachability.REACHABLE);

	private final AtomicInteger probes = new AtomicInteger();

	/** The peer that last relayed a call, null for none. */
	private volatile Address lastRelayingPeer;

	StoreRoute(Transport transport, Address store, Supplier<List<Address>> peers, Ticker ticker,
			ClusterMetrics metrics) {
		this.transport = transport;
		this.store = store;
		this.peers = peers;
		this.ticker = ticker;
		this.metrics = metrics;
	}

	/**
	 * Sends a call directly or, if that fails, through a peer.
	 * @param limit the time limit of the direct call and of each call to a peer
	 * @return the store's answer; if there is none, a failure after which the call may
	 * have taken effect takes precedence over one after which it cannot
	 */
	public Exchange exchange(HttpCall call, TimeLimit limit) {
		Exchange direct = new Exchange.NotSent(
				"the store refused or did not answer this process within the last second");
		long began = this.ticker.millis();
		if (began >= this.retryDirectAt) {
			direct = exchangeDirectly(call, limit);
			if (isStoreAnswer(direct)) {
				recordAnswer("directly");
				return direct;
			}
			if (this.answeredAt <= began) {
				this.retryDirectAt = this.ticker.millis() + DIRECT_RETRY_MS;
			}
		}
		Exchange relayed = exchangeThroughPeers(call, limit);
		if (isStoreAnswer(relayed)) {
			recordAnswer("through a peer");
			return relayed;
		}
		Exchange lessCertain = lessCertain(direct, relayed);
		recordFailure(lessCertain, reason(direct), began);
		return lessCertain;
	}

	/**
	 * Records a call that failed on every way. A call that began before the last answer
	 * tells nothing about the present: a watch may end long after the store is back.
	 */
	private void recordFailure(Exchange failure, String directFailure, long began) {
		if (this.answeredAt > began) {
			return;
		}
		StoreReachability before = this.reachability
			.getAndUpdate((state) -> state.failed(reason(failure), this.ticker.millis()));
		if (!before.lost()) {
			Part.PLATFORM.logger()
				.atWarn()
				.addKeyValue("directFailure", directFailure)
				.log("Lost the connection to the store, directly and through peers; calls to it fail until it answers.");
		}
	}

	/**
	 * Sends a call to the store without trying peers.
	 */
	Exchange exchangeDirectly(HttpCall call, TimeLimit limit) {
		return recorded(() -> this.transport.exchange(this.store, call, limit));
	}

	private Exchange recorded(Supplier<Exchange> directCall) {
		long began = this.ticker.millis();
		Exchange exchange = directCall.get();
		this.metrics.recordStoreCall("direct", outcome(exchange), this.ticker.millis() - began);
		return exchange;
	}

	/**
	 * Returns whether the store can be reached, as the latest calls and probes tell.
	 */
	StoreReachability reachability() {
		return this.reachability.get();
	}

	/**
	 * Whether calls skip the direct way for now, because it failed recently.
	 */
	boolean directWayAvoided() {
		return this.ticker.millis() < this.retryDirectAt;
	}

	/**
	 * Tries the direct way with a read, so that its return is noticed before a caller
	 * needs it.
	 */
	void probeDirectly(HttpCall read, TimeLimit limit) {
		if (isStoreAnswer(exchangeDirectly(read, limit))) {
			this.retryDirectAt = Long.MIN_VALUE;
			recordAnswer("directly");
		}
	}

	/**
	 * Sends a read through one peer, the next one each time.
	 */
	void probePeer(HttpCall read, TimeLimit limit) {
		List<Address> known = this.peers.get();
		if (known.isEmpty()) {
			return;
		}
		Address peer = known.get(Math.floorMod(this.probes.getAndIncrement(), known.size()));
		Exchange exchange = this.transport.exchange(peer, relayed(read, limit), limit);
		if (isStoreAnswer(exchange)) {
			this.lastRelayingPeer = peer;
			recordAnswer("through a peer");
		}
		else {
			this.reachability.updateAndGet((state) -> state.peerProbed(exchange instanceof Exchange.Answered));
		}
	}

	/**
	 * Forwards a call of a peer to the store, never to another peer. The answer is passed
	 * on as it arrives, which shows the peer that the call goes on.
	 * @param limit the time limit of a call that names none
	 * @return the store's answer; 503 if the call had no effect, 504 if it may have had
	 * one
	 */
	HttpReply relayForPeer(HttpCall call, TimeLimit limit) {
		long answerMs = call.header(ANSWER_LIMIT).flatMap(StoreRoute::milliseconds).getOrElse(limit.answerMs());
		TimeLimit allowed = limit.plusWait(answerMs - limit.answerMs());
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		headers.putAll(call.headers());
		headers.remove(ANSWER_LIMIT);
		HttpCall inner = new HttpCall(call.method(), call.path().substring(RELAY.length()), call.query(), headers,
				call.body());
		return switch (recorded(() -> this.transport.stream(this.store, inner, allowed))) {
			case Exchange.Answered answered -> answered.reply();
			case Exchange.NotSent notSent -> storeUnreachable(UNAVAILABLE, notSent.reason());
			case Exchange.Broken broken -> storeUnreachable(TIMED_OUT, broken.reason());
		};
	}

	private static Option<Long> milliseconds(String text) {
		return Try.of(() -> Long.parseLong(text)).toOption().filter((ms) -> ms >= 0 && ms <= MAX_ANSWER_MS);
	}

	private static HttpCall relayed(HttpCall call, TimeLimit limit) {
		return new HttpCall(call.method(), RELAY + call.path(), call.query(), call.headers(), call.body())
			.header(ANSWER_LIMIT, Long.toString(limit.answerMs()));
	}

	private Exchange exchangeThroughPeers(HttpCall call, TimeLimit limit) {
		List<Address> known = this.peers.get();
		Exchange failed = new Exchange.NotSent("no peer is known");
		if (known.isEmpty()) {
			return failed;
		}
		Address relaying = this.lastRelayingPeer;
		int lastIndex = (relaying != null) ? known.indexOf(relaying) : -1;
		int first = (lastIndex >= 0) ? lastIndex : ThreadLocalRandom.current().nextInt(known.size());
		HttpCall relayCall = relayed(call, limit);
		long began = this.ticker.millis();
		for (int tried = 0; tried < Math.min(MAX_PEERS_PER_CALL, known.size()); tried++) {
			Address peer = known.get((first + tried) % known.size());
			Exchange exchange = this.transport.exchange(peer, relayCall, limit.plusOverhead(RELAY_OVERHEAD_MS));
			this.metrics.recordStoreCall("peer", outcome(exchange), this.ticker.millis() - began);
			if (isStoreAnswer(exchange)) {
				this.lastRelayingPeer = peer;
				return exchange;
			}
			this.lastRelayingPeer = null;
			failed = (tried > 0) ? lessCertain(failed, exchange) : exchange;
			if (this.ticker.millis() - began > limit.answerMs()) {
				break;
			}
		}
		return failed;
	}

	private void recordAnswer(String way) {
		this.answeredAt = this.ticker.millis();
		if (this.reachability.getAndSet(StoreReachability.REACHABLE).lost()) {
			Part.PLATFORM.logger().atInfo().addKeyValue("route", way).log("The store answers again.");
		}
	}

	/**
	 * Returns the failure after which the call may have taken effect, if there is one.
	 */
	private static Exchange lessCertain(Exchange one, Exchange other) {
		return mayHaveTakenEffect(one) ? one : other;
	}

	private static boolean mayHaveTakenEffect(Exchange exchange) {
		return switch (exchange) {
			case Exchange.Broken _ -> true;
			case Exchange.NotSent _ -> false;
			case Exchange.Answered answered ->
				answered.reply().status() != TOO_MANY && answered.reply().status() != UNAVAILABLE;
		};
	}

	private static HttpReply storeUnreachable(int status, String reason) {
		return Problem
			.of(status, "store-away", "This process cannot reach the store: " + reason,
					"Send the call to another process.")
			.reply();
	}

	private static boolean isStoreAnswer(Exchange exchange) {
		return exchange instanceof Exchange.Answered answered && answered.reply().status() != TOO_MANY
				&& answered.reply().status() < SERVER_FAULT;
	}

	private static String outcome(Exchange exchange) {
		return switch (exchange) {
			case Exchange.Answered answered -> Integer.toString(answered.reply().status());
			case Exchange.NotSent _ -> "not-sent";
			case Exchange.Broken broken -> broken.unanswered() ? "silent" : "broken";
		};
	}

	private static String reason(Exchange exchange) {
		return switch (exchange) {
			case Exchange.Answered answered -> "status " + answered.reply().status();
			case Exchange.NotSent notSent -> notSent.reason();
			case Exchange.Broken broken -> broken.reason();
		};
	}

	/**
	 * The HTTP client of a route.
	 */
	@FunctionalInterface
	interface Transport {

		/**
		 * Sends a call and waits for the answer.
		 */
		Exchange exchange(Address to, HttpCall call, TimeLimit limit);

		/**
		 * Sends a call and waits until the answer begins; see {@link HttpClient#stream}.
		 */
		default Exchange stream(Address to, HttpCall call, TimeLimit limit) {
			return exchange(to, call, limit);
		}

		/**
		 * Returns the transport of an HTTP client.
		 */
		static Transport of(HttpClient client) {
			return new Transport() {

				@Override
				public Exchange exchange(Address to, HttpCall call, TimeLimit limit) {
					return client.exchange(to, call, limit);
				}

				@Override
				public Exchange stream(Address to, HttpCall call, TimeLimit limit) {
					return client.stream(to, call, limit);
				}

			};
		}

	}

}
