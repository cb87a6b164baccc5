package org.citronrelay.internal.http;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * The answer that the call on a connection waits for. Collects the parts of the answer;
 * parts that arrive after the call has timed out have no effect.
 */
final class PendingAnswer {

	private static final Attribute<PendingAnswer> ATTRIBUTE = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute("citronrelay.pending-answer");

	private final CompletableFuture<Exchange> future = new CompletableFuture<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private volatile boolean received;

	static PendingAnswer attach(Connection<?> connection) {
		PendingAnswer pending = new PendingAnswer();
		ATTRIBUTE.set(connection, pending);
		return pending;
	}

	static PendingAnswer of(Connection<?> connection) {
		return ATTRIBUTE.get(connection);
	}

	Exchange await(long timeoutMs) {
		try {
			return this.future.get(timeoutMs, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			return new Exchange.Broken("no complete answer within " + timeoutMs + " ms", !this.received);
		}
		catch (ExecutionException ex) {
			return new Exchange.Broken(ex.getCause().getMessage(), false);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Exchange.Broken("interrupted while waiting for the answer", false);
		}
	}

	/**
	 * Appends one part of the answer. The last part completes it. An answer that is
	 * neither chunked nor declares its length counts as broken, because its end cannot be
	 * told from a lost connection.
	 */
	void append(HttpContent content, int maxBytes) {
		this.received = true;
		byte[] bytes = new byte[content.getContent().remaining()];
		content.getContent().get(bytes);
		this.body.writeBytes(bytes);
		if (this.body.size() > maxBytes) {
			fail("the answer is larger than " + maxBytes + " bytes");
			return;
		}
		if (content.isLast()) {
			complete((HttpResponsePacket) content.getHttpHeader());
		}
	}

	void fail(String reason) {
		this.future.complete(new Exchange.Broken(reason, false));
	}

	private void complete(HttpResponsePacket header) {
		long length = header.getContentLength();
		if (length < 0 && !header.isChunked()) {
			fail("the answer is neither chunked nor declares its length");
			return;
		}
		if (length >= 0 && length != this.body.size()) {
			fail("the answer is incomplete: got " + this.body.size() + " of " + length + " bytes");
			return;
		}
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String name : header.getHeaders().names()) {
			headers.put(name, header.getHeader(name));
		}
		this.future
			.complete(new Exchange.Answered(new HttpReply(header.getStatus(), headers, this.body.toByteArray())));
	}

}
