import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** An HTTP server on a loopback address. */
final class Server {

	private final HttpServer server;

	private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

	Server(int port, Handler handler) {
		try {
			this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 1_024);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.setExecutor(this.threads);
		this.server.createContext("/", (exchange) -> handle(exchange, handler));
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	String address() {
		return "127.0.0.1:" + port();
	}

	/** Closes the port and all connections. */
	void stop() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	private static void handle(HttpExchange exchange, Handler handler) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		Map<String, String> query = new LinkedHashMap<>();
		String raw = exchange.getRequestURI().getRawQuery();
		if (raw != null) {
			for (String part : raw.split("&")) {
				int equals = part.indexOf('=');
				query.put(URLDecoder.decode(part.substring(0, equals), StandardCharsets.UTF_8),
						URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		Reply reply;
		try {
			reply = handler.handle(new Call(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query,
					exchange.getRequestHeaders().getFirst("X-Expect-Instance"),
					new String(body, StandardCharsets.UTF_8)));
		}
		catch (InterruptedException ex) {
			reply = null;
		}
		if (reply == null) {
			exchange.close();
			return;
		}
		byte[] bytes = Json.write(reply.body()).getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(reply.status(), bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	record Call(String method, String path, Map<String, String> query, String instance, String body) {

		long number(String name, long otherwise) {
			return this.query.containsKey(name) ? Long.parseLong(this.query.get(name)) : otherwise;
		}

	}

	record Reply(int status, Object body) {
	}

	/** Answers a call; null closes the connection without an answer. */
	interface Handler {

		Reply handle(Call call) throws InterruptedException;

	}

}
