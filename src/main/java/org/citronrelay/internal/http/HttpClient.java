package org.citronrelay.internal.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vavr.control.Either;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * HTTP client that carries one call at a time on a connection. A connection whose call
 * did not end with a complete answer is closed, so that a late answer is never taken for
 * the answer to another call.
 *
 * <pre>
 * Exchange exchange = client.exchange(address, HttpCall.of("GET", "/health"), 500, false);
 * </pre>
 */
public final class HttpClient implements AutoCloseable {

	private static final long CONNECT_TIMEOUT_MS = 500;

	/** Maximum idle time after which most calls may still reuse a connection. */
	private static final long IDLE_REUSE_NANOS = TimeUnit.SECONDS.toNanos(5);

	/**
	 * Maximum idle time for calls that must not be sent twice. The shorter a connection
	 * is idle, the less likely the server has closed it meanwhile.
	 */
	private static final long FRESH_REUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Headers that belong to a single connection. The client sets its own, so those of a
	 * forwarded call are not sent.
	 */
	private static final Set<String> CONNECTION_HEADERS = Set.of("host", "content-length", "connection", "keep-alive",
			"transfer-encoding");

	private final TCPNIOTransport transport;

	private final FilterChain chain;

	private final Map<Address, ConcurrentLinkedDeque<IdleConnection>> idle = new ConcurrentHashMap<>();

	/**
	 * Creates and starts the client.
	 * @param maxAnswerBytes maximum size of an answer body; larger answers count as
	 * {@link Exchange.Broken}
	 * @throws UncheckedIOException if the transport cannot be started
	 */
	public HttpClient(int maxAnswerBytes) {
		this.transport = TCPNIOTransportBuilder.newInstance()
			.setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
				.copy()
				.setPoolName("http-client")
				.setCorePoolSize(2)
				.setMaxPoolSize(4))
			.setSelectorRunnersCount(1)
			.setTcpNoDelay(true)
			.build();
		this.chain = FilterChainBuilder.stateless()
			.add(new TransportFilter())
			.add(new HttpClientFilter())
			.add(new AnswerFilter(maxAnswerBytes))
			.build();
		try {
			this.transport.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot start the HTTP client transport", ex);
		}
	}

	/**
	 * Sends a call and waits for the complete answer.
	 * @param address the address of the server
	 * @param call the call to send
	 * @param timeoutMs maximum time to wait for the answer, in milliseconds
	 * @param freshOnly whether only a connection that had an answer within the last 500
	 * ms may be reused; for calls that must not be sent twice
	 */
	public Exchange exchange(Address address, HttpCall call, long timeoutMs, boolean freshOnly) {
		return exchange(address, call, TimeLimit.total(timeoutMs), freshOnly);
	}

	/**
	 * Sends a call that may be sent twice, and waits for the complete answer.
	 * @param address the address of the server
	 * @param call the call to send
	 * @param limit how long to wait for the answer
	 */
	public Exchange exchange(Address address, HttpCall call, TimeLimit limit) {
		return exchange(address, call, limit, false);
	}

	/**
	 * Sends a call that may be sent twice, and returns its answer as soon as it begins. A
	 * body that does not come at once is in {@link HttpReply#rest}, which the caller has
	 * to close.
	 * @param address the address of the server
	 * @param call the call to send
	 * @param limit how long to wait for the answer
	 */
	public Exchange stream(Address address, HttpCall call, TimeLimit limit) {
		return send(address, call, limit, false).fold((notSent) -> notSent,
				(sent) -> sent.pending().begin(limit, (exchange) -> release(address, sent.connection(), exchange)));
	}

	private Exchange exchange(Address address, HttpCall call, TimeLimit limit, boolean freshOnly) {
		return send(address, call, limit, freshOnly).fold((notSent) -> notSent, (sent) -> {
			Exchange exchange = sent.pending().await(limit);
			release(address, sent.connection(), exchange);
			return exchange;
		});
	}

	private Either<Exchange, SentCall> send(Address address, HttpCall call, TimeLimit limit, boolean freshOnly) {
		try {
			Connection<?> connection = connection(address, freshOnly, limit.answerMs());
			PendingAnswer pending = PendingAnswer.attach(connection, call.body().length);
			connection.write(request(address, call));
			return Either.right(new SentCall(connection, pending));
		}
		catch (IOException ex) {
			return Either.left(new Exchange.NotSent("no connection to " + address + ": " + ex.getMessage()));
		}
	}

	@Override
	public void close() {
		try {
			this.transport.shutdownNow();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot stop the HTTP client transport", ex);
		}
	}

	private void release(Address address, Connection<?> connection, Exchange exchange) {
		switch (exchange) {
			case Exchange.Answered answered when keepsAlive(answered.reply()) ->
				idle(address).push(new IdleConnection(connection, System.nanoTime()));
			case Exchange.Answered _ -> connection.closeSilently();
			case Exchange.NotSent _ -> connection.closeSilently();
			case Exchange.Broken broken -> {
				connection.closeSilently();
				if (broken.unanswered()) {
					closeIdle(address);
				}
			}
		}
	}

	/**
	 * Closes all idle connections to an address. After a call on one of them timed out
	 * without any answer, the server is likely to be unreachable on the others too.
	 */
	private void closeIdle(Address address) {
		ConcurrentLinkedDeque<IdleConnection> connections = idle(address);
		for (IdleConnection next = connections.poll(); next != null; next = connections.poll()) {
			next.connection().closeSilently();
		}
	}

	private Connection<?> connection(Address address, boolean freshOnly, long timeoutMs) throws IOException {
		long oldest = System.nanoTime() - (freshOnly ? FRESH_REUSE_NANOS : IDLE_REUSE_NANOS);
		ConcurrentLinkedDeque<IdleConnection> candidates = idle(address);
		for (IdleConnection next = candidates.poll(); next != null; next = candidates.poll()) {
			if (next.connection().isOpen() && next.sinceNanos() - oldest > 0) {
				return next.connection();
			}
			next.connection().closeSilently();
		}
		return connect(address, Math.min(timeoutMs, CONNECT_TIMEOUT_MS));
	}

	/**
	 * Opens a connection. An attempt that exceeds the time-out is cancelled, which also
	 * closes the connection if it opens later.
	 */
	private Connection<?> connect(Address address, long timeoutMs) throws IOException {
		GrizzlyFuture<Connection> attempt = TCPNIOConnectorHandler.builder(this.transport)
			.processor(this.chain)
			.build()
			.connect(address.socket());
		try {
			return attempt.get(timeoutMs, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException ex) {
			throw new IOException(ex.getCause().getMessage(), ex.getCause());
		}
		catch (TimeoutException ex) {
			attempt.cancel(true);
			throw new IOException("no connection within " + timeoutMs + " ms", ex);
		}
		catch (InterruptedException ex) {
			attempt.cancel(true);
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while connecting", ex);
		}
	}

	private ConcurrentLinkedDeque<IdleConnection> idle(Address address) {
		return this.idle.computeIfAbsent(address, (key) -> new ConcurrentLinkedDeque<>());
	}

	private static HttpContent request(Address address, HttpCall call) {
		HttpRequestPacket.Builder builder = HttpRequestPacket.builder()
			.method(call.method())
			.uri(call.path())
			.protocol(Protocol.HTTP_1_1)
			.header("Host", address.toString())
			.contentLength(call.body().length);
		if (!call.query().isEmpty()) {
			builder.query(query(call.query()));
		}
		call.headers().forEach((name, value) -> {
			if (!CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				builder.header(name, value);
			}
		});
		return HttpContent.builder(builder.build())
			.content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, call.body()))
			.last(true)
			.build();
	}

	private static String query(Map<String, String> parameters) {
		StringJoiner joiner = new StringJoiner("&");
		parameters.forEach((name, value) -> joiner.add(encoded(name) + "=" + encoded(value)));
		return joiner.toString();
	}

	private static String encoded(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	private static boolean keepsAlive(HttpReply reply) {
		return !reply.header("Connection").exists("close"::equalsIgnoreCase);
	}

	private record SentCall(Connection<?> connection, PendingAnswer pending) {
	}

	private record IdleConnection(Connection<?> connection, long sinceNanos) {
	}

}
