package org.citronrelay.internal.cluster;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.time.Ticker;

/**
 * Carries calls to the store: directly, and through a peer while the store turns this
 * machine away. All calls to the store may be repeated: writes carry conditions.
 */
public final class StoreRoute {

	/** What a peer's path begins with when it is to pass a call on. */
	static final String RELAY = "/relay";

	/** How long the store is left alone after it turned this machine away. */
	private static final long DETOUR_MS = 1_000;

	/** The longest that a call to a peer takes beyond the store's own time. */
	private static final long HOP_MS = 100;

	/** How many peers are asked for one call, as long as they answer quickly. */
	private static final int PEERS_ASKED = 2;

	private static final int TOO_MANY = 429;

	private static final int SERVER_FAULT = 500;

	private static final int UNAVAILABLE = 503;

	private static final int TIMED_OUT = 504;

	private final Line line;

	private final Address store;

	private final Supplier<List<Address>> peers;

	private final Ticker ticker;

	private final ClusterMetrics metrics;

	private volatile long directAgainAt = Long.MIN_VALUE;

	private volatile long reachedAt;

	private volatile boolean lost;

	/** The peer that last carried a call, null for none. */
	private volatile Address lastServing;

	StoreRoute(Line line, Address store, Supplier<List<Address>> peers, Ticker ticker, ClusterMetrics metrics) {
		this.line = line;
		this.store = store;
		this.peers = peers;
		this.ticker = ticker;
		this.metrics = metrics;
		this.reachedAt = ticker.millis();
	}

	/**
	 * Sends a call by whichever way works.
	 * @param timeoutMs how long one way may take, in milliseconds
	 */
	public Exchange exchange(HttpCall call, long timeoutMs) {
		Exchange direct = new Exchange.NotSent("the store turned this machine away a moment ago");
		if (this.ticker.millis() >= this.directAgainAt) {
			direct = direct(call, timeoutMs);
			if (served(direct)) {
				reached("directly");
				return direct;
			}
			this.directAgainAt = this.ticker.millis() + DETOUR_MS;
		}
		Exchange relayed = relayed(call, timeoutMs);
		if (served(relayed)) {
			reached("through a peer");
			return relayed;
		}
		if (!this.lost) {
			this.lost = true;
			Part.PLATFORM.logger().atWarn().addKeyValue("direct", reason(direct)).log("Lost the store.");
		}
		return worse(direct, relayed);
	}

	/**
	 * Sends a call directly, as a peer asked.
	 */
	Exchange direct(HttpCall call, long timeoutMs) {
		long began = this.ticker.millis();
		Exchange exchange = this.line.exchange(this.store, call, timeoutMs);
		this.metrics.stored("direct", outcome(exchange), this.ticker.millis() - began);
		return exchange;
	}

	/**
	 * When the store last answered by any way, in ticks.
	 */
	long reachedAt() {
		return this.reachedAt;
	}

	/**
	 * Passes on a call that a peer sent, to the store only.
	 * @return the store's answer; 503 where the call surely had no effect, 504 where it
	 * may have had one
	 */
	HttpReply passOn(HttpCall call, long timeoutMs) {
		HttpCall inner = new HttpCall(call.method(), call.path().substring(RELAY.length()), call.query(),
				call.headers(), call.body());
		return switch (direct(inner, timeoutMs)) {
			case Exchange.Answered answered -> answered.reply();
			case Exchange.NotSent notSent -> unreached(UNAVAILABLE, notSent.reason());
			case Exchange.Broken broken -> unreached(TIMED_OUT, broken.reason());
		};
	}

	private Exchange relayed(HttpCall call, long timeoutMs) {
		List<Address> known = this.peers.get();
		Exchange failed = new Exchange.NotSent("no peer is known");
		if (known.isEmpty()) {
			return failed;
		}
		Address serving = this.lastServing;
		int last = (serving != null) ? known.indexOf(serving) : -1;
		int first = (last >= 0) ? last : ThreadLocalRandom.current().nextInt(known.size());
		HttpCall wrapped = new HttpCall(call.method(), RELAY + call.path(), call.query(), call.headers(), call.body());
		long began = this.ticker.millis();
		for (int asked = 0; asked < Math.min(PEERS_ASKED, known.size()); asked++) {
			Address peer = known.get((first + asked) % known.size());
			Exchange exchange = this.line.exchange(peer, wrapped, timeoutMs + HOP_MS);
			this.metrics.stored("peer", outcome(exchange), this.ticker.millis() - began);
			if (served(exchange)) {
				this.lastServing = peer;
				return exchange;
			}
			this.lastServing = null;
			failed = (asked > 0) ? worse(failed, exchange) : exchange;
			if (this.ticker.millis() - began > timeoutMs) {
				break;
			}
		}
		return failed;
	}

	private void reached(String how) {
		this.reachedAt = this.ticker.millis();
		if (this.lost) {
			this.lost = false;
			Part.PLATFORM.logger().atInfo().addKeyValue("way", how).log("Reached the store again.");
		}
	}

	/**
	 * Of two failures the one that leaves more open: a call that may have had its effect.
	 */
	private static Exchange worse(Exchange one, Exchange other) {
		return mayHaveEffect(one) ? one : other;
	}

	private static boolean mayHaveEffect(Exchange exchange) {
		return switch (exchange) {
			case Exchange.Broken _ -> true;
			case Exchange.NotSent _ -> false;
			case Exchange.Answered answered ->
				answered.reply().status() != TOO_MANY && answered.reply().status() != UNAVAILABLE;
		};
	}

	private static HttpReply unreached(int status, String reason) {
		return Problem
			.of(status, "store-away", "This process does not reach the store: " + reason, "Ask another process.")
			.reply();
	}

	private static boolean served(Exchange exchange) {
		return exchange instanceof Exchange.Answered answered && answered.reply().status() != TOO_MANY
				&& answered.reply().status() < SERVER_FAULT;
	}

	private static String outcome(Exchange exchange) {
		return switch (exchange) {
			case Exchange.Answered answered -> Integer.toString(answered.reply().status());
			case Exchange.NotSent _ -> "not-sent";
			case Exchange.Broken broken -> broken.silent() ? "silent" : "broken";
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
	 * Sends one call to one address and waits for the answer.
	 */
	@FunctionalInterface
	interface Line {

		/**
		 * Sends a call.
		 * @param timeoutMs how long to wait for the answer, in milliseconds
		 */
		Exchange exchange(Address to, HttpCall call, long timeoutMs);

	}

}
