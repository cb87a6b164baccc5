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
 * The answer that one connection is waiting for. Parts of an answer that nobody waits for
 * are dropped.
 */
final class PendingAnswer {

	private static final Attribute<PendingAnswer> ATTRIBUTE = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute("citronrelay.pending-answer");

	private final CompletableFuture<Exchange> future = new CompletableFuture<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private volatile boolean heard;

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
			return new Exchange.Broken("no whole answer within " + timeoutMs + " ms", !this.heard);
		}
		catch (ExecutionException ex) {
			return new Exchange.Broken(ex.getCause().getMessage(), false);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Exchange.Broken("interrupted", false);
		}
	}

	/**
	 * Takes one part of the answer. An answer without a declared length is no whole one,
	 * since a cut could not be told from its end.
	 */
	void take(HttpContent content, int largestBytes) {
		this.heard = true;
		byte[] bytes = new byte[content.getContent().remaining()];
		content.getContent().get(bytes);
		this.body.writeBytes(bytes);
		if (this.body.size() > largestBytes) {
			fail("the answer is larger than " + largestBytes + " bytes");
			return;
		}
		if (content.isLast()) {
			finish((HttpResponsePacket) content.getHttpHeader());
		}
	}

	void fail(String reason) {
		this.future.complete(new Exchange.Broken(reason, false));
	}

	private void finish(HttpResponsePacket header) {
		long length = header.getContentLength();
		if (length < 0 && !header.isChunked()) {
			fail("the answer declares no length");
			return;
		}
		if (length >= 0 && length != this.body.size()) {
			fail("the answer was cut after " + this.body.size() + " of " + length + " bytes");
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
