package org.citronrelay.review3;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.citronrelay.internal.json.Json;

/** HTTP server of a stand-in on a loopback port. */
final class Server implements AutoCloseable {

	static {
		System.setProperty("sun.net.httpserver.nodelay", "true");
	}

	private final HttpServer server;

	/** Opens a port; 0 lets the system choose one. */
	Server(int port, Handler handler) {
		try {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_024);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		this.server.createContext("/", (exchange) -> handle(exchange, handler));
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private static void handle(HttpExchange exchange, Handler handler) throws IOException {
		try (exchange) {
			byte[] body = exchange.getRequestBody().readAllBytes();
			Map<String, String> query = new HashMap<>();
			String raw = exchange.getRequestURI().getRawQuery();
			if (raw != null) {
				for (String part : raw.split("&")) {
					String[] pair = part.split("=", 2);
					query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
				}
			}
			Answer answer = handler.handle(new Call(exchange.getRequestMethod(), exchange.getRequestURI().getPath(),
					query, exchange.getRequestHeaders().getFirst("X-Expect-Instance"),
					Json.parse(body).getOrElse(Json.object())));
			if (answer != null) {
				byte[] bytes = Json.bytes(answer.body());
				exchange.getResponseHeaders().set("Content-Type", "application/json");
				exchange.sendResponseHeaders(answer.status(), bytes.length);
				exchange.getResponseBody().write(bytes);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	record Call(String method, String path, Map<String, String> query, String expectedInstance, JsonNode body) {

		long number(String parameter) {
			return Long.parseLong(this.query.getOrDefault(parameter, "0"));
		}

	}

	record Answer(int status, JsonNode body) {
	}

	/** Answers calls; without an answer (null) the connection is closed. */
	@FunctionalInterface
	interface Handler {

		Answer handle(Call call) throws InterruptedException;

	}

}
