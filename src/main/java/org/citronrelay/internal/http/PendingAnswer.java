package org.citronrelay.internal.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.vavr.control.Option;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * The answer that the call on a connection waits for. The parts of the answer are queued
 * as they arrive, for one reader; parts that arrive after the call has timed out have no
 * effect.
 */
final class PendingAnswer {

	private static final Attribute<PendingAnswer> ATTRIBUTE = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute("citronrelay.pending-answer");

	private final BlockingQueue<AnswerPart> parts = new LinkedBlockingQueue<>();

	private final long sentNanos = System.nanoTime();

	private final long sentBytes;

	/**
	 * The beginning of the answer, null before; used by the thread that adds parts only.
	 */
	private AnswerPart.Head head;

	/** How many bytes have arrived; used by the thread that adds parts only. */
	private int arrivedBytes;

	private boolean received;

	private long receivedBytes;

	private long receivedNanos;

	private PendingAnswer(long sentBytes) {
		this.sentBytes = sentBytes;
	}

	/**
	 * Makes a new call the one that waits for the next answer on a connection.
	 * @param sentBytes the size of the call's body
	 */
	static PendingAnswer attach(Connection<?> connection, long sentBytes) {
		PendingAnswer pending = new PendingAnswer(sentBytes);
		ATTRIBUTE.set(connection, pending);
		return pending;
	}

	static PendingAnswer of(Connection<?> connection) {
		return ATTRIBUTE.get(connection);
	}

	/**
	 * Adds one part of the answer. The last part completes it.
	 */
	void append(HttpContent content, int maxBytes) {
		byte[] bytes = new byte[content.getContent().remaining()];
		content.getContent().get(bytes);
		this.arrivedBytes += bytes.length;
		if (this.arrivedBytes > maxBytes) {
			fail("the answer is larger than " + maxBytes + " bytes");
			return;
		}
		if (this.head == null) {
			this.head = AnswerPart.Head.of((HttpResponsePacket) content.getHttpHeader());
		}
		this.parts.add(new AnswerPart.Bytes(this.head, bytes, content.isLast()));
	}

	void fail(String reason) {
		this.parts.add(new AnswerPart.Lost(reason, false));
	}

	/**
	 * Waits for the complete answer.
	 */
	Exchange await(TimeLimit limit) {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			switch (next(limit)) {
				case AnswerPart.Lost lost -> {
					return new Exchange.Broken(lost.reason(), lost.unanswered());
				}
				case AnswerPart.Bytes part -> {
					body.writeBytes(part.bytes());
					if (part.last()) {
						return complete(part.head(), body.toByteArray());
					}
				}
			}
		}
	}

	/**
	 * Waits for the next part of the answer.
	 */
	AnswerPart next(TimeLimit limit) {
		try {
			AnswerPart part = this.parts.poll();
			if (part == null) {
				part = this.parts.poll(Math.max(0, remainingMs(limit)), TimeUnit.MILLISECONDS);
			}
			if (part instanceof AnswerPart.Bytes bytes) {
				this.received = true;
				this.receivedBytes += bytes.bytes().length;
				this.receivedNanos = System.nanoTime();
			}
			return (part != null) ? part : new AnswerPart.Lost(timedOut(), !this.received);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new AnswerPart.Lost("interrupted while waiting for the answer", false);
		}
	}

	/**
	 * Waits until the answer begins.
	 * @param onEnd called once with the outcome, as soon as the answer is complete or
	 * nothing more of it will be read
	 * @return the answer, whose body may still be incomplete
	 */
	Exchange begin(TimeLimit limit, Consumer<Exchange> onEnd) {
		return switch (next(limit)) {
			case AnswerPart.Lost lost -> ended(new Exchange.Broken(lost.reason(), lost.unanswered()), onEnd);
			case AnswerPart.Bytes part when part.last() -> ended(complete(part.head(), part.bytes()), onEnd);
			case AnswerPart.Bytes part ->
				new Exchange.Answered(new HttpReply(part.head().status(), part.head().headers(), part.bytes(),
						Option.some(new Rest(limit, onEnd)), HttpReply.Delivery.COMPLETE));
		};
	}

	private static Exchange ended(Exchange outcome, Consumer<Exchange> onEnd) {
		onEnd.accept(outcome);
		return outcome;
	}

	private long remainingMs(TimeLimit limit) {
		long now = System.nanoTime();
		return limit.remainingMs(TimeUnit.NANOSECONDS.toMillis(now - this.sentNanos), this.sentBytes,
				this.receivedBytes, TimeUnit.NANOSECONDS.toMillis(now - this.receivedNanos));
	}

	private String timedOut() {
		return "no complete answer within " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.sentNanos)
				+ " ms (sent " + this.sentBytes + " bytes, received " + this.receivedBytes + ")";
	}

	/**
	 * Returns a complete answer. One that is neither chunked nor declares its length
	 * counts as broken, because its end cannot be told from a lost connection.
	 */
	private static Exchange complete(AnswerPart.Head head, byte[] body) {
		if (head.length() < 0 && !head.chunked()) {
			return new Exchange.Broken("the answer is neither chunked nor declares its length", false);
		}
		if (head.length() >= 0 && head.length() != body.length) {
			return new Exchange.Broken(
					"the answer is incomplete: got " + body.length + " of " + head.length() + " bytes", false);
		}
		return new Exchange.Answered(new HttpReply(head.status(), head.headers(), body));
	}

	/**
	 * The parts of the answer after the first.
	 */
	private final class Rest implements BodyStream {

		private final TimeLimit limit;

		private final Consumer<Exchange> onEnd;

		private Exchange outcome = new Exchange.Broken("the rest of the answer was not read", false);

		Rest(TimeLimit limit, Consumer<Exchange> onEnd) {
			this.limit = limit;
			this.onEnd = onEnd;
		}

		@Override
		public void copyTo(OutputStream out) throws IOException {
			while (true) {
				switch (next(this.limit)) {
					case AnswerPart.Lost lost -> throw new IOException(lost.reason());
					case AnswerPart.Bytes part -> {
						out.write(part.bytes());
						out.flush();
						if (part.last()) {
							this.outcome = new Exchange.Answered(
									new HttpReply(part.head().status(), part.head().headers(), new byte[0]));
							return;
						}
					}
				}
			}
		}

		@Override
		public void close() {
			this.onEnd.accept(this.outcome);
		}

	}

}
