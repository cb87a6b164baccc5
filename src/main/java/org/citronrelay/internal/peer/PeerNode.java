package org.citronrelay.internal.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.peer.PeerCodec.Envelope;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Sends calls to other entry processes and answers theirs, over TCP. A connection on
 * which a call timed out is closed, because the peer may never answer on it again; the
 * next call opens a new one.
 */
public final class PeerNode implements AutoCloseable {

	private static final long CONNECT_TIMEOUT_MS = 500;

	private final TCPNIOTransport transport;

	private final Map<Address, Connection<?>> connections = new ConcurrentHashMap<>();

	private final Map<Long, CompletableFuture<PeerMessage>> pendingCalls = new ConcurrentHashMap<>();

	private final AtomicLong lastCallId = new AtomicLong();

	private final ExecutorService callExecutor = Executors.newVirtualThreadPerTaskExecutor();

	private final UnaryOperator<PeerMessage> handler;

	private final LongAdder bytesIn = new LongAdder();

	private final LongAdder bytesOut = new LongAdder();

	/**
	 * Starts listening for connections of peers.
	 * @param address the address to listen at
	 * @param handler answers the calls of peers; each call runs on its own virtual thread
	 * @throws UncheckedIOException if the address cannot be bound
	 */
	public PeerNode(Address address, UnaryOperator<PeerMessage> handler) {
		this.handler = handler;
		this.transport = TCPNIOTransportBuilder.newInstance()
			.setProcessor(FilterChainBuilder.stateless()
				.add(new TransportFilter())
				.add(new FrameFilter())
				.add(new MessageFilter())
				.build())
			.setWorkerThreadPoolConfig(
					ThreadPoolConfig.defaultConfig().copy().setPoolName("peer").setCorePoolSize(2).setMaxPoolSize(2))
			.setSelectorRunnersCount(1)
			.setTcpNoDelay(true)
			.setReuseAddress(true)
			.build();
		try {
			this.transport.bind(address.socket());
			this.transport.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen for peers on " + address, ex);
		}
	}

	/**
	 * Calls a peer and waits for its answer.
	 * @param peer the address of the peer
	 * @param message the message
	 * @param timeoutMs how long to wait for the answer, in milliseconds
	 * @return the answer, or why there is none
	 */
	public Either<String, PeerMessage> call(Address peer, PeerMessage message, long timeoutMs) {
		long callId = this.lastCallId.incrementAndGet();
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		this.pendingCalls.put(callId, answer);
		Connection<?> connection = null;
		try {
			connection = connection(peer);
			send(connection, new Envelope(callId, false, message));
			return Either.right(answer.get(timeoutMs, TimeUnit.MILLISECONDS));
		}
		catch (IOException ex) {
			return Either.left("no connection to " + peer + ": " + ex.getMessage());
		}
		catch (TimeoutException ex) {
			closeConnection(peer, connection);
			return Either.left("no answer from " + peer + " within " + timeoutMs + " ms");
		}
		catch (ExecutionException ex) {
			return Either.left("the connection to " + peer + " was lost");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left("interrupted");
		}
		finally {
			this.pendingCalls.remove(callId);
		}
	}

	/**
	 * Returns the payload bytes sent and received since the start.
	 */
	public long transferredBytes() {
		return this.bytesIn.sum() + this.bytesOut.sum();
	}

	@Override
	public void close() {
		try {
			this.transport.shutdownNow();
			this.callExecutor.shutdownNow();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot close the peer connections", ex);
		}
	}

	private Connection<?> connection(Address peer) throws IOException {
		Connection<?> existing = this.connections.get(peer);
		if (existing != null && existing.isOpen()) {
			return existing;
		}
		try {
			Connection<?> opened = this.transport.connect(peer.socket()).get(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
			Connection<?> previous = this.connections.put(peer, opened);
			if (previous != null && previous != opened && !previous.isOpen()) {
				previous.closeSilently();
			}
			return opened;
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IOException((ex.getCause() != null) ? ex.getCause().getMessage() : "connect timed out", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

	private void closeConnection(Address peer, Connection<?> connection) {
		if (connection != null) {
			this.connections.remove(peer, connection);
			connection.closeSilently();
		}
	}

	private void send(Connection<?> connection, Envelope envelope) {
		byte[] payload = PeerCodec.encode(envelope);
		this.bytesOut.add(payload.length);
		connection.write(payload);
	}

	private void handlePayload(Connection<?> connection, byte[] payload) {
		this.bytesIn.add(payload.length);
		PeerCodec.decode(payload)
			.peek((envelope) -> dispatch(connection, envelope))
			.peekLeft((reason) -> closeInvalid(connection, reason));
	}

	private void closeInvalid(Connection<?> connection, String reason) {
		Part.PEER.logger()
			.warn("Closed the peer connection from {} after an invalid message: {}.", connection.getPeerAddress(),
					reason);
		connection.closeSilently();
	}

	private void dispatch(Connection<?> connection, Envelope envelope) {
		if (envelope.reply()) {
			CompletableFuture<PeerMessage> answer = this.pendingCalls.get(envelope.callId());
			if (answer != null) {
				answer.complete(envelope.message());
			}
			return;
		}
		this.callExecutor.execute(
				() -> send(connection, new Envelope(envelope.callId(), true, this.handler.apply(envelope.message()))));
	}

	private final class MessageFilter extends BaseFilter {

		@Override
		public NextAction handleRead(FilterChainContext context) {
			handlePayload(context.getConnection(), context.getMessage());
			return context.getStopAction();
		}

	}

}
