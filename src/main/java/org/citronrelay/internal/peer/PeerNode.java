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
 * One end of the links between entry processes. A link on which a call ran out of time is
 * closed and opened anew, since it may have gone silent for good.
 */
public final class PeerNode implements AutoCloseable {

	private static final long CONNECT_TIMEOUT_MS = 500;

	private final TCPNIOTransport transport;

	private final Map<Address, Connection<?>> links = new ConcurrentHashMap<>();

	private final Map<Long, CompletableFuture<PeerMessage>> waiting = new ConcurrentHashMap<>();

	private final AtomicLong nextCall = new AtomicLong();

	private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();

	private final UnaryOperator<PeerMessage> handler;

	private final LongAdder bytesIn = new LongAdder();

	private final LongAdder bytesOut = new LongAdder();

	/**
	 * Starts to listen.
	 * @param handler answers the calls of peers; each runs on a thread of its own
	 */
	public PeerNode(Address address, UnaryOperator<PeerMessage> handler) {
		this.handler = handler;
		this.transport = TCPNIOTransportBuilder.newInstance()
			.setProcessor(FilterChainBuilder.stateless()
				.add(new TransportFilter())
				.add(new FrameFilter())
				.add(new LinkFilter())
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
	 * @param timeoutMs how long to wait, in milliseconds
	 * @return the answer, or what was seen instead
	 */
	public Either<String, PeerMessage> call(Address peer, PeerMessage message, long timeoutMs) {
		long number = this.nextCall.incrementAndGet();
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		this.waiting.put(number, answer);
		Connection<?> link = null;
		try {
			link = link(peer);
			send(link, new Envelope(number, false, message));
			return Either.right(answer.get(timeoutMs, TimeUnit.MILLISECONDS));
		}
		catch (IOException ex) {
			return Either.left("no link to " + peer + ": " + ex.getMessage());
		}
		catch (TimeoutException ex) {
			drop(peer, link);
			return Either.left("no answer from " + peer + " within " + timeoutMs + " ms");
		}
		catch (ExecutionException ex) {
			return Either.left("the link to " + peer + " was lost");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left("interrupted");
		}
		finally {
			this.waiting.remove(number);
		}
	}

	/**
	 * The bytes that went over all links in both directions so far.
	 */
	public long bytes() {
		return this.bytesIn.sum() + this.bytesOut.sum();
	}

	@Override
	public void close() {
		try {
			this.transport.shutdownNow();
			this.calls.shutdownNow();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot stop the peer links", ex);
		}
	}

	private Connection<?> link(Address peer) throws IOException {
		Connection<?> known = this.links.get(peer);
		if (known != null && known.isOpen()) {
			return known;
		}
		try {
			Connection<?> opened = this.transport.connect(peer.socket()).get(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
			Connection<?> other = this.links.put(peer, opened);
			if (other != null && other != opened && !other.isOpen()) {
				other.closeSilently();
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

	private void drop(Address peer, Connection<?> link) {
		if (link != null) {
			this.links.remove(peer, link);
			link.closeSilently();
		}
	}

	private void send(Connection<?> link, Envelope envelope) {
		byte[] payload = PeerCodec.encode(envelope);
		this.bytesOut.add(payload.length);
		link.write(payload);
	}

	private void received(Connection<?> link, byte[] payload) {
		this.bytesIn.add(payload.length);
		PeerCodec.decode(payload)
			.peek((envelope) -> dispatch(link, envelope))
			.peekLeft((reason) -> refuse(link, reason));
	}

	private void refuse(Connection<?> link, String reason) {
		Part.PEER.logger().warn("Closed a link from {}: {}.", link.getPeerAddress(), reason);
		link.closeSilently();
	}

	private void dispatch(Connection<?> link, Envelope envelope) {
		if (envelope.reply()) {
			CompletableFuture<PeerMessage> answer = this.waiting.get(envelope.call());
			if (answer != null) {
				answer.complete(envelope.message());
			}
			return;
		}
		this.calls
			.execute(() -> send(link, new Envelope(envelope.call(), true, this.handler.apply(envelope.message()))));
	}

	private final class LinkFilter extends BaseFilter {

		@Override
		public NextAction handleRead(FilterChainContext context) {
			received(context.getConnection(), context.getMessage());
			return context.getStopAction();
		}

	}

}
