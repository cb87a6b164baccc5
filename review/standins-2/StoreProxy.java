package org.citronrelay.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Predicate;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.citronrelay.internal.http.Address;

/**
 * The way to the store. A call that is chosen gets no answer, and the store carries it out
 * some seconds later.
 */
final class StoreProxy implements AutoCloseable {

	private final HttpServer server;

	private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.executor(this.threads)
		.build();

	private final int storePort;

	private final Predicate<String> late;

	private final long lateMs;

	private final Record record;

	/**
	 * Creates the proxy.
	 * @param late chooses, by the body of a transaction, those that are carried out late
	 */
	StoreProxy(int storePort, Predicate<String> late, long lateMs, Record record) {
		this.storePort = storePort;
		this.late = late;
		this.lateMs = lateMs;
		this.record = record;
		try {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1_024);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.setExecutor(this.threads);
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	Address address() {
		return new Address("127.0.0.1", this.server.getAddress().getPort());
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
		this.client.shutdownNow();
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			byte[] body = exchange.getRequestBody().readAllBytes();
			boolean isWrite = exchange.getRequestURI().getPath().equals("/citronrelay/kv-txn");
			if (isWrite && this.late.test(new String(body))) {
				this.record.add("the store gives no answer to this call, and carries it out " + this.lateMs
						+ " ms later: " + new String(body));
				Thread.sleep(this.lateMs);
				HttpResponse<byte[]> answer = forward(exchange, body);
				this.record.add("the store has carried the late call out: " + answer.statusCode());
				return;
			}
			HttpResponse<byte[]> answer = forward(exchange, body);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(answer.statusCode(), (answer.body().length > 0) ? answer.body().length : -1);
			exchange.getResponseBody().write(answer.body());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private HttpResponse<byte[]> forward(HttpExchange exchange, byte[] body) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + this.storePort + exchange.getRequestURI()))
			.method(exchange.getRequestMethod(), HttpRequest.BodyPublishers.ofByteArray(body))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofByteArray());
	}

}
