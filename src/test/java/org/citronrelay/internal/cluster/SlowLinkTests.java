package org.citronrelay.internal.cluster;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Option;
import org.citronrelay.internal.demo.FreeAddresses;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.BodyStream;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpEndpoint;
import org.citronrelay.internal.http.HttpHandler;
import org.citronrelay.internal.http.HttpLimits;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.TimeLimit;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against calls to the store that never succeed on a slow link, as their time
 * limit does not depend on how much they carry.
 */
class SlowLinkTests {

	/** The time limit of the store client. */
	private static final TimeLimit LIMIT = TimeLimit.ofSilence(600);

	private static final int PART_BYTES = 40_000;

	/** How many parts an answer of 1 MB has. */
	private static final int PARTS = 25;

	/** The pause between two parts; a link of 7 Mbit/s takes about as long for each. */
	private static final long PART_MS = 45;

	private final Address store = FreeAddresses.next();

	private final Address peer = FreeAddresses.next();

	private final HttpClient client = new HttpClient(8 * 1024 * 1024);

	private final List<HttpEndpoint> endpoints = new ArrayList<>();

	@AfterEach
	void stop() {
		this.client.close();
		this.endpoints.forEach(HttpEndpoint::close);
	}

	@Test
	void aPageThatTakesLongerThanTheTimeLimitIsReadWhileItArrives() {
		// given
		serve(this.store, (call) -> slowAnswer(PARTS, true));
		// when
		Exchange exchange = route(this.store, List.of()).exchange(HttpCall.of("GET", "/page"), LIMIT);
		// then
		assertThat(bodyLength(exchange)).isEqualTo(PARTS * PART_BYTES);
	}

	@Test
	void aPageThatTakesLongerThanTheTimeLimitIsReadThroughAPeer() {
		// given a store that only a peer reaches
		serve(this.store, (call) -> slowAnswer(PARTS, true));
		relay();
		// when
		Exchange exchange = route(FreeAddresses.next(), List.of(this.peer)).exchange(HttpCall.of("GET", "/page"),
				LIMIT);
		// then
		assertThat(bodyLength(exchange)).isEqualTo(PARTS * PART_BYTES);
	}

	@Test
	void aPageThatStopsArrivingIsBroken() {
		// given
		serve(this.store, (call) -> slowAnswer(2, false));
		// when
		Exchange exchange = route(this.store, List.of()).exchange(HttpCall.of("GET", "/page"), LIMIT);
		// then
		assertThat(exchange).isInstanceOf(Exchange.Broken.class);
	}

	@Test
	void aPageThatStopsArrivingAtThePeerIsBroken() {
		// given
		serve(this.store, (call) -> slowAnswer(2, false));
		relay();
		// when
		Exchange exchange = route(FreeAddresses.next(), List.of(this.peer)).exchange(HttpCall.of("GET", "/page"),
				LIMIT);
		// then
		assertThat(exchange).isInstanceOf(Exchange.Broken.class);
	}

	@Test
	void aWatchThroughAPeerWaitsAsLongAsADirectOne() {
		// given a store that answers a watch once something has changed
		serve(this.store, (call) -> {
			Pause.millis(1_500);
			return HttpReply.text(200, "changed");
		});
		relay();
		// when
		Exchange exchange = route(FreeAddresses.next(), List.of(this.peer)).exchange(HttpCall.of("GET", "/watch"),
				LIMIT.plusWait(2_000));
		// then
		assertThat(bodyLength(exchange)).isEqualTo("changed".length());
	}

	@Test
	void aTransactionThatIsSentSlowlyIsAnswered() throws IOException {
		// given a store that gets a value of 1 MB, in Base64, at 7 Mbit/s
		byte[] body = new byte[1_398_104];
		try (ServerSocket server = new ServerSocket()) {
			server.setReceiveBufferSize(PART_BYTES);
			server.bind(this.store.socket());
			Thread.ofVirtual().start(() -> answerSlowly(server, body.length));
			// when
			Exchange exchange = route(this.store, List.of()).exchange(HttpCall.of("POST", "/write").body(body), LIMIT);
			// then
			assertThat(bodyLength(exchange)).isEqualTo(2);
		}
	}

	@Test
	void aLargeTransactionIsSentThroughAPeer() {
		// given
		AtomicInteger received = new AtomicInteger();
		this.endpoints.add(HttpEndpoint.start(this.store, HttpLimits.DEFAULT.withBodyBytes(4_000_000), (call) -> {
			received.set(call.body().length);
			return HttpReply.text(200, "stored");
		}));
		relay();
		// when
		Exchange exchange = route(FreeAddresses.next(), List.of(this.peer))
			.exchange(HttpCall.of("POST", "/write").body(new byte[1_398_104]), LIMIT);
		// then
		assertThat(bodyLength(exchange)).isEqualTo("stored".length());
		assertThat(received).hasValue(1_398_104);
	}

	private static void answerSlowly(ServerSocket server, int bytes) {
		try (Socket connection = server.accept()) {
			InputStream in = connection.getInputStream();
			for (int read = 0; read < bytes; read += PART_BYTES) {
				in.readNBytes(Math.min(PART_BYTES, bytes - read));
				Pause.millis(PART_MS);
			}
			connection.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes());
			connection.getOutputStream().flush();
			in.readAllBytes();
		}
		catch (IOException ex) {
			// The client gave up and has closed the connection.
		}
	}

	private void relay() {
		StoreRoute route = route(this.store, List.of());
		this.endpoints
			.add(HttpEndpoint.start(this.peer, HttpLimits.DEFAULT.withBodyBytes(ClusterProcess.MAX_PEER_CALL_BYTES),
					(call) -> route.relayForPeer(call, LIMIT)));
	}

	private void serve(Address address, HttpHandler handler) {
		this.endpoints.add(HttpEndpoint.start(address, HttpLimits.DEFAULT, handler));
	}

	private StoreRoute route(Address to, List<Address> peers) {
		return new StoreRoute(StoreRoute.Transport.of(this.client), to, () -> peers, Ticker.system(),
				new ClusterMetrics());
	}

	private static int bodyLength(Exchange exchange) {
		return (exchange instanceof Exchange.Answered answered) ? answered.reply().body().length : -1;
	}

	/**
	 * Returns an answer of which some parts arrive, one after the other.
	 * @param complete whether the others arrive too
	 */
	private static HttpReply slowAnswer(int parts, boolean complete) {
		return new HttpReply(200, Map.of("Content-Length", Integer.toString(PARTS * PART_BYTES)), new byte[0],
				Option.some(new SlowBody(parts, complete)), HttpReply.Delivery.COMPLETE);
	}

	private record SlowBody(int parts, boolean complete) implements BodyStream {

		@Override
		public void copyTo(OutputStream out) throws IOException {
			for (int part = 0; part < this.parts; part++) {
				Pause.millis(PART_MS);
				out.write(new byte[PART_BYTES]);
				out.flush();
			}
			if (!this.complete) {
				Pause.millis(5_000);
				throw new IOException("planted");
			}
		}

		@Override
		public void close() {
			// There is nothing to release.
		}

	}

}
