package org.citronrelay.internal.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.citronrelay.internal.logging.Part;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * HTTP server that listens on one address.
 */
public final class HttpEndpoint implements AutoCloseable {

	private static final int SELECTOR_THREADS = 1;

	private static final int STATUS_TOO_LARGE = 413;

	private static final int STATUS_INTERNAL_ERROR = 500;

	private final HttpServer server;

	private final ExecutorService callExecutor = Executors.newVirtualThreadPerTaskExecutor();

	private final AtomicInteger inProgress = new AtomicInteger();

	private final HttpLimits limits;

	private HttpEndpoint(Address address, HttpLimits limits, HttpHandler handler) {
		this.limits = limits;
		this.server = new HttpServer();
		NetworkListener listener = new NetworkListener("http", address.host(), address.port());
		listener.setMaxHttpHeaderSize(limits.headerBytes());
		listener.getKeepAlive().setIdleTimeoutInSeconds((int) limits.idle().toSeconds());
		listener.getKeepAlive().setMaxRequestsCount(-1);
		listener.getTransport().setWorkerThreadPoolConfig(pool("http-worker"));
		listener.getTransport().setSelectorRunnersCount(SELECTOR_THREADS);
		listener.getTransport().setReadTimeout(limits.idle().toMillis(), TimeUnit.MILLISECONDS);
		listener.getTransport().setTcpNoDelay(true);
		listener.getTransport()
			.getConnectionMonitoringConfig()
			.addProbes(new ConnectionLimit(new AtomicInteger(), limits.connections()));
		this.server.addListener(listener);
		this.server.getServerConfiguration().addHttpHandler(new Adapter(handler), "/");
		this.server.getServerConfiguration().setName("citronrelay");
	}

	/**
	 * Starts a server.
	 * @throws UncheckedIOException if the address cannot be bound
	 */
	public static HttpEndpoint start(Address address, HttpLimits limits, HttpHandler handler) {
		HttpEndpoint endpoint = new HttpEndpoint(address, limits, handler);
		try {
			endpoint.server.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen on " + address, ex);
		}
		return endpoint;
	}

	/**
	 * Returns the number of calls that have not been answered yet.
	 */
	public int inProgress() {
		return this.inProgress.get();
	}

	@Override
	public void close() {
		this.server.shutdownNow();
		this.callExecutor.shutdownNow();
	}

	private static ThreadPoolConfig pool(String name) {
		return ThreadPoolConfig.defaultConfig().copy().setPoolName(name).setCorePoolSize(2).setMaxPoolSize(2);
	}

	private final class Adapter extends org.glassfish.grizzly.http.server.HttpHandler {

		private final HttpHandler handler;

		Adapter(HttpHandler handler) {
			this.handler = handler;
		}

		@Override
		public void service(Request request, Response response) {
			HttpEndpoint.this.inProgress.incrementAndGet();
			// Grizzly's default status is 200; a call that fails must not look accepted.
			response.setStatus(STATUS_INTERNAL_ERROR);
			response.suspend();
			HttpEndpoint.this.callExecutor.execute(() -> answer(request, response));
		}

		private void answer(Request request, Response response) {
			try {
				deliver(request, response, reply(request));
			}
			catch (IOException ex) {
				Part.REQUEST.logger()
					.debug("Lost the connection to the caller before its answer was complete: {}.", ex.getMessage());
			}
			finally {
				HttpEndpoint.this.inProgress.decrementAndGet();
				response.resume();
			}
		}

		private HttpReply reply(Request request) throws IOException {
			int maxBytes = HttpEndpoint.this.limits.bodyBytes();
			if (request.getContentLengthLong() > maxBytes) {
				return tooLarge(maxBytes);
			}
			byte[] body = request.getInputStream().readNBytes(maxBytes + 1);
			if (body.length > maxBytes) {
				return tooLarge(maxBytes);
			}
			try {
				return this.handler.handle(call(request, body));
			}
			catch (RuntimeException | Error ex) {
				Part.ENTRY.logger()
					.error("Handling a call failed with an unexpected error; it is answered with status 500.", ex);
				return Problem
					.of(STATUS_INTERNAL_ERROR, "internal", "The call failed with an internal error.",
							"Ask the operators to look at the log.")
					.reply();
			}
		}

		private HttpReply tooLarge(int maxBytes) {
			return Problem
				.of(STATUS_TOO_LARGE, "body-too-large", "The body is larger than " + maxBytes + " bytes.",
						"Send a smaller body.")
				.reply()
				.header("Connection", "close");
		}

		private HttpCall call(Request request, byte[] body) {
			Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
			for (String name : request.getHeaderNames()) {
				headers.put(name, request.getHeader(name));
			}
			Map<String, String> query = new TreeMap<>();
			for (String name : request.getParameterNames()) {
				query.put(name, request.getParameter(name));
			}
			return new HttpCall(request.getMethod().getMethodString(), request.getRequestURI(), query, headers, body);
		}

		private void deliver(Request request, Response response, HttpReply reply) throws IOException {
			if (reply.rest().isDefined()) {
				writeRest(request, response, reply, reply.rest().get());
				return;
			}
			switch (reply.delivery()) {
				case COMPLETE -> write(response, reply, reply.body().length);
				case TRUNCATED -> {
					write(response, reply, reply.body().length / 2);
					request.getRequest().getConnection().closeSilently();
				}
				case DROPPED -> request.getRequest().getConnection().closeSilently();
			}
		}

		/**
		 * Passes on an answer whose body is still being received. If the rest does not
		 * come, the connection is closed, so that the caller does not wait for it.
		 */
		private void writeRest(Request request, Response response, HttpReply reply, BodyStream rest)
				throws IOException {
			try (rest) {
				response.setStatus(reply.status());
				reply.headers().forEach((name, value) -> {
					if (!name.equalsIgnoreCase("Transfer-Encoding")) {
						response.setHeader(name, value);
					}
				});
				response.getOutputStream().write(reply.body());
				response.getOutputStream().flush();
				rest.copyTo(response.getOutputStream());
			}
			catch (IOException ex) {
				request.getRequest().getConnection().closeSilently();
				throw ex;
			}
		}

		private void write(Response response, HttpReply reply, int bytes) throws IOException {
			response.setStatus(reply.status());
			reply.headers().forEach(response::setHeader);
			response.setContentLength(reply.body().length);
			response.getOutputStream().write(reply.body(), 0, bytes);
			response.getOutputStream().flush();
		}

	}

	/**
	 * Closes newly accepted connections while the maximum number is open.
	 */
	private static final class ConnectionLimit extends ConnectionProbe.Adapter {

		private final AtomicInteger open;

		private final int maxOpen;

		ConnectionLimit(AtomicInteger open, int maxOpen) {
			this.open = open;
			this.maxOpen = maxOpen;
		}

		@Override
		public void onAcceptEvent(Connection serverConnection, Connection clientConnection) {
			if (this.open.incrementAndGet() > this.maxOpen) {
				clientConnection.closeSilently();
			}
			clientConnection.addCloseListener((closeable, type) -> this.open.decrementAndGet());
		}

	}

}
