package org.citronrelay.internal.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.citronrelay.internal.demo.FreeAddresses;
import org.citronrelay.internal.http.HttpReply.Delivery;
import org.citronrelay.internal.time.Pause;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link HttpClient}: only complete answers count as answered, and a call counts
 * as not sent only if no byte of it was sent.
 */
class HttpClientTests {

	private static final long LONG_WAIT_MS = 3_000;

	/** More connections than a listen backlog of 1 accepts. */
	private static final int BACKLOG_FILLERS = 4;

	private final Address address = FreeAddresses.next();

	private final AtomicReference<HttpHandler> handler = new AtomicReference<>((call) -> HttpReply.text(200, "answer"));

	private final HttpClient client = new HttpClient(1_000);

	private HttpEndpoint server;

	@AfterEach
	void stop() {
		this.client.close();
		if (this.server != null) {
			this.server.close();
		}
	}

	@Test
	void aCallToAPortWithoutListenerIsNotSent() {
		assertThat(call(500)).isInstanceOf(Exchange.NotSent.class);
	}

	@Test
	void anAnswerThatIsTruncatedIsBroken() {
		// given
		serve((call) -> HttpReply.text(200, "a text that is cut in the middle").withDelivery(Delivery.TRUNCATED));

		// when
		Exchange exchange = call(2_000);

		// then
		assertThat(exchange).isInstanceOf(Exchange.Broken.class);
	}

	@Test
	void anAnswerThatNeverComesIsBroken() {
		// given
		serve((call) -> HttpReply.text(200, "").withDelivery(Delivery.DROPPED));

		// when
		Exchange exchange = call(2_000);

		// then
		assertThat(exchange).isInstanceOf(Exchange.Broken.class);
	}

	@Test
	void anAnswerThatIsTooLargeIsBroken() {
		// given
		serve((call) -> HttpReply.text(200, "x".repeat(2_000)));

		// when
		Exchange exchange = call(2_000);

		// then
		assertThat(exchange).isInstanceOf(Exchange.Broken.class);
	}

	@Test
	void aLateAnswerIsNeverTakenForTheAnswerToTheNextCall() {
		// given
		AtomicInteger calls = new AtomicInteger();
		serve((call) -> {
			int number = calls.incrementAndGet();
			Pause.millis((number == 1) ? LONG_WAIT_MS : 0);
			return HttpReply.text(200, "answer " + number);
		});

		// when
		Exchange first = call(200);
		Exchange second = call(2_000);

		// then
		assertThat(first).isInstanceOf(Exchange.Broken.class);
		assertThat(second).isInstanceOfSatisfying(Exchange.Answered.class,
				(answered) -> assertThat(new String(answered.reply().body())).isEqualTo("answer 2"));
	}

	@Test
	void aForwardedCallHasItsOwnHostAndLengthHeadersOnce() throws IOException {
		// given a received call that is forwarded
		HttpCall received = HttpCall.of("POST", "/path")
			.header("Host", "10.0.0.1:80")
			.header("content-length", "99")
			.header("Content-Type", "application/json")
			.body(new byte[] { '{', '}' });
		InetSocketAddress socket = this.address.socket();
		try (ServerSocket server = new ServerSocket(socket.getPort(), 1, socket.getAddress())) {
			// when
			Thread caller = Thread.ofVirtual()
				.start(() -> this.client.exchange(this.address, received, LONG_WAIT_MS, false));
			String sent;
			try (Socket connection = server.accept()) {
				byte[] bytes = new byte[2_000];
				int length = 0;
				while (!new String(bytes, 0, length, StandardCharsets.UTF_8).endsWith("{}")) {
					length += connection.getInputStream().read(bytes, length, bytes.length - length);
				}
				sent = new String(bytes, 0, length, StandardCharsets.UTF_8).toLowerCase(Locale.ROOT);
			}
			caller.interrupt();
			// then
			assertThat(sent.split("host:")).hasSize(2);
			assertThat(sent.split("content-length:")).hasSize(2);
			assertThat(sent).contains("content-length: 2\r\n")
				.contains("host: " + this.address)
				.contains("content-type: application/json");
		}
	}

	@Test
	void aConnectionThatOpensAfterItsTimeoutIsClosed() throws IOException {
		// given a server with a full listen backlog
		InetSocketAddress socket = this.address.socket();
		try (ServerSocket full = new ServerSocket(socket.getPort(), 1, socket.getAddress())) {
			List<Socket> fillers = new ArrayList<>();
			for (int number = 0; number < BACKLOG_FILLERS; number++) {
				Socket filler = SocketChannel.open().socket();
				filler.getChannel().configureBlocking(false);
				filler.getChannel().connect(socket);
				fillers.add(filler);
			}
			Exchange exchange = call(300);
			assertThat(exchange).isInstanceOf(Exchange.NotSent.class);

			// when the server accepts the connections of its backlog
			full.setSoTimeout((int) LONG_WAIT_MS);
			List<Socket> accepted = acceptAll(full);
			for (Socket filler : fillers) {
				filler.getChannel().close();
			}

			// then
			assertThat(accepted).isNotEmpty().allSatisfy((connection) -> {
				connection.setSoTimeout((int) LONG_WAIT_MS);
				assertThat(connection.getInputStream().read()).as("closed by its client").isEqualTo(-1);
			});
		}
	}

	private static List<Socket> acceptAll(ServerSocket server) throws IOException {
		List<Socket> accepted = new ArrayList<>();
		while (true) {
			try {
				accepted.add(server.accept());
			}
			catch (SocketTimeoutException ex) {
				return accepted;
			}
		}
	}

	private void serve(HttpHandler newHandler) {
		this.handler.set(newHandler);
		this.server = HttpEndpoint.start(this.address, HttpLimits.DEFAULT, (call) -> this.handler.get().handle(call));
	}

	private Exchange call(long timeoutMs) {
		return this.client.exchange(this.address, HttpCall.of("GET", "/"), timeoutMs, false);
	}

}
